/**
 * An order to a model server. Tenure and number together name it: a server that can check turns away
 * an older tenure, and takes a number that it has seen for the same order again.
 */
import { z } from 'zod'

export const Order = z.object({
  tenure: z.number(),
  number: z.number(),
  kind: z.enum(['load', 'unload', 'attach', 'detach']),
  model: z.string(),
  adapter: z.string(),
  sizeMb: z.number(),
})
export type Order = z.infer<typeof Order>
