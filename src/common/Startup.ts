/**
 * What a daemon is told at its start: its name, zone, addresses, seeds, folder and bounds. Read from
 * a JSON file, then overridden by flags, then checked as a whole; every error is named by its path.
 */
import { readFileSync } from 'node:fs'
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import { Address } from './Address.js'
import { Bounds } from './Bounds.js'
import { Mechanism } from './Mechanism.js'

const Name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes')

const common = {
  name: Name,
  zone: Name,
  transport: Address,
  bounds: Bounds.prefault({}),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent']).default('info'),
}

const seeds = z.array(Address).min(1).max(9)
const control = z.strictObject({
  ...common,
  seeds,
  operators: Address,
  data: z.string().min(1),
  /** Empty for a network, whose core is whoever joins; only with `bootstrap` may this machine then found one. */
  seats: z.array(Name).max(9).default([]),
  bootstrap: z.boolean().default(false),
  /** Model servers check epochs, so that a new dispatcher need not wait for the last one's lease to run out. */
  fenced: z.boolean().default(false),
  platform: Address.optional(),
  /** Control nodes whose loss at once must be borne; the core keeps twice as many voters and one. */
  tolerated: z.number().int().min(1).max(4).default(1),
  system: z.string().default(''),
  /** The memory that the process may take, in megabytes. */
  memoryMb: z.number().positive().default(512),
  /** The descriptors that the process may have open. */
  fileDescriptors: z.number().int().positive().default(4096),
  /** Mechanisms that are switched off, to measure what they are worth. */
  without: z.array(Mechanism).default([]),
  rewriteBytes: z.number().int().min(4096).default(4_000_000),
})
const agent = z.strictObject({
  ...common,
  seeds,
  proxy: Address,
  platform: Address.optional(),
  watch: Address.optional(),
  system: z.string().default(''),
})
const proxy = z.strictObject({
  ...common,
  seat: Name,
  agent: Address,
  callers: Address,
  traces: z.string().min(1).optional(),
  holdBytes: z.number().int().positive().default(64_000_000),
})

export const Startup = {
  control,
  agent,
  proxy,

  read<T>(schema: z.ZodType<T>, file: string | undefined, flags: Record<string, unknown>): Either<string[], T> {
    let base: unknown = {}
    if (file !== undefined) {
      try {
        base = JSON.parse(readFileSync(file, 'utf8'))
      } catch (error) {
        return Left([`${file}: ${error instanceof Error ? error.message : String(error)}`])
      }
    }
    if (typeof base !== 'object' || base === null || Array.isArray(base)) return Left([`${file ?? 'startup'}: must be a JSON object`])
    const given = Object.fromEntries(Object.entries(flags).filter(([, value]) => value !== undefined))
    const read = schema.safeParse({ ...base, ...given })
    if (read.success) return Right(read.data)
    return Left(read.error.issues.map((issue) => `${issue.path.join('.') || 'startup'}: ${issue.message}`))
  },
}
export interface Startup {
  control: z.infer<typeof control>
  agent: z.infer<typeof agent>
  proxy: z.infer<typeof proxy>
}
