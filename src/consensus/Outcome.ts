/**
 * How an operator's write ended: a status as in HTTP, the stamp it made if it took effect, and the
 * errors with their paths if not.
 */
import { z } from 'zod'

export const Outcome = z.object({ status: z.number(), stamp: z.number(), errors: z.array(z.string()) })
export type Outcome = z.infer<typeof Outcome>
