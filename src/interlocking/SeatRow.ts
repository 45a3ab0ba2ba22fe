/**
 * A seat of the data plane: it counts in the majority that must adopt a charter until it is retired.
 */
import { z } from 'zod'

export const SeatRow = z.object({ role: z.string(), zone: z.string(), retired: z.boolean() })
export type SeatRow = z.infer<typeof SeatRow>
