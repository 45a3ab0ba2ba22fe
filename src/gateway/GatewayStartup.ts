/**
 * What a gateway is told at its start, checked as a whole; every error is named by its path.
 */
import { z } from 'zod'
import { Address } from '../common/Address.js'
import { Bounds } from '../common/Bounds.js'
import { Mechanism } from '../common/Mechanism.js'

export const GatewayStartup = z.strictObject({
  name: z.string().min(1),
  zone: z.string().min(1),
  transport: Address,
  /** Where callers come in, and where it says whether it is ready for them. */
  callers: Address,
  readiness: Address.optional(),
  seeds: z.array(Address).min(1).max(9),
  platform: Address.optional(),
  system: z.string().default(''),
  bounds: Bounds.prefault({}),
  /** The budget for further tries over all gateways. */
  retryRatio: z.number().min(0).max(1).default(0.2),
  retryAllowance: z.number().min(0).default(50),
  retryWindowMs: z.number().positive().default(10_000),
  /** How long a stop may take, and how long callers may still come in after it was asked for. */
  graceMs: z.number().positive().default(8000),
  leaveMs: z.number().nonnegative().default(2500),
  /** The memory that the process may take, in megabytes. */
  memoryMb: z.number().positive().default(512),
  /** The descriptors that the process may have open. */
  fileDescriptors: z.number().int().positive().default(4096),
  /** Mechanisms that are switched off, to measure what they are worth. */
  without: z.array(Mechanism).default([]),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent']).default('info'),
})
export type GatewayStartup = z.infer<typeof GatewayStartup>
