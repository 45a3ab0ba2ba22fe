/**
 * The changes that the agreed log orders. What a dispatcher orders carries its epoch, the index of
 * the entry that gave it the duty; the register drops what comes under any other epoch.
 */
import { z } from 'zod'
import { Codec } from '../transport/Codec.js'

const kind = <K extends string, S extends z.ZodRawShape>(name: K, shape: S) => z.object({ kind: z.literal(name), ...shape })
const options = [
  kind('charter', {
    operation: z.string(),
    action: z.enum(['put', 'patch', 'rollback']),
    branch: z.string(),
    text: z.string(),
    ifMatch: z.number(),
  }),
  kind('platform', { servers: z.string() }),
  kind('seat', { name: z.string(), role: z.string(), zone: z.string(), retired: z.boolean(), operation: z.string() }),
  kind('duty', { duty: z.string(), vacancy: z.number(), holder: z.string(), address: z.string() }),
  kind('vacate', { duty: z.string(), epoch: z.number() }),
  kind('dispatch', { epoch: z.number(), rows: z.array(z.object({ key: z.string(), gone: z.boolean(), value: z.string() })) }),
  kind('found', { system: z.string(), again: z.boolean() }),
  // `operation` names what is written, `request` the one request that asks for it, and `basis` is the log
  // index that its node had applied when it came in.
  kind('network', {
    operation: z.string(),
    request: z.string(),
    basis: z.number(),
    action: z.enum(['put', 'patch']),
    text: z.string(),
    ifMatch: z.number(),
  }),
  kind('zone', { zone: z.string(), emptied: z.boolean(), request: z.string(), basis: z.number() }),
] as const

export const Command = new Codec<Command>(z.discriminatedUnion('kind', options), options)
export type Command = z.infer<(typeof options)[number]>
