/**
 * The records that a core machine keeps on disk: its identity, its term and vote, the entries of
 * the log, the snapshot that stands for entries no longer kept, and the seeds among which it may found a core. An entry at an index that was
 * written before takes the place of the older one and of all after it.
 */
import { z } from 'zod'
import { Bytes } from '../transport/Bytes.js'
import { Codec } from '../transport/Codec.js'

const options = [
  z.object({ kind: z.literal('identity'), identity: z.string(), system: z.string() }),
  z.object({ kind: z.literal('term'), term: z.number(), ballot: z.string() }),
  z.object({ kind: z.literal('entry'), index: z.number(), term: z.number(), type: z.enum(['noop', 'members', 'command']), bytes: Bytes }),
  z.object({ kind: z.literal('snapshot'), index: z.number(), term: z.number(), members: z.string(), state: Bytes }),
  z.object({ kind: z.literal('founding'), seeds: z.array(z.string()) }),
] as const

export const DiskRecord = new Codec<DiskRecord>(z.discriminatedUnion('kind', options), options)
export type DiskRecord = z.infer<(typeof options)[number]>
