/**
 * The row `retired/SERVICE:MODEL`: the size of a model that its service no longer lists. Servers may hold it on, and do not tell its
 * size themselves.
 */
import { z } from 'zod'

export const RetiredModel = z.object({
  /** What its weights take of a server's memory. */
  sizeMb: z.number(),
  /** What each of its adapters takes. */
  adapterMb: z.number(),
})
export type RetiredModel = z.infer<typeof RetiredModel>
