/**
 * The bounds the users set, in milliseconds. Every other duration in the system is a ratio of one
 * of these; see Pace.
 */
import { z } from 'zod'

export const Bounds = z.strictObject({
  charterMs: z.number().positive().default(2000),
  drainMs: z.number().positive().default(3000),
  emptyMs: z.number().positive().default(5000),
  recoverMs: z.number().positive().default(12000),
})
export type Bounds = z.infer<typeof Bounds>
