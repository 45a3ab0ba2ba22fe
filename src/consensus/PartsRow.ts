/**
 * The chains of prompt parts that a server has reported to keep, the newest of them, in the shared table.
 */
import { z } from 'zod'

export const PartsRow = z.object({ incarnation: z.string(), links: z.array(z.string()) })
export type PartsRow = z.infer<typeof PartsRow>
