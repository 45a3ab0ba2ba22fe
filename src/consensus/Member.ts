/**
 * A replica of the core: the identity of its data folder, the seat it fills, where it was when it
 * joined, and whether it counts in a majority.
 */
import { z } from 'zod'

export const Member = z.object({ identity: z.string(), seat: z.string(), address: z.string(), voter: z.boolean() })
export type Member = z.infer<typeof Member>
