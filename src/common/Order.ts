/**
 * An order to a model server. Epoch and number together name it: a server that can check turns away
 * an older epoch, and takes a number that it has seen for the same order again. To a server that counts
 * its orders, `expected` says how many it had taken when this one was decided on.
 */
import { z } from 'zod'

export const Order = z.object({
  epoch: z.number(),
  number: z.number(),
  kind: z.enum(['load', 'unload', 'attach', 'detach']),
  model: z.string(),
  adapter: z.string(),
  sizeMb: z.number(),
  expected: z.number().optional(),
})
export type Order = z.infer<typeof Order>
