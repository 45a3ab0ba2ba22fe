/**
 * What a model server says that it holds: which weights and adapters, in which state, how many
 * streams use each, and the last order it took. `madeMs` is the server's own clock since its start.
 * A server that counts its orders instead of naming the last one gives `sequence` and `busy`.
 */
import { z } from 'zod'

export const Report = z.object({
  server: z.string(),
  incarnation: z.string(),
  madeMs: z.number(),
  epoch: z.number().optional(),
  models: z.array(
    z.object({ model: z.string(), state: z.enum(['loading', 'loaded', 'unloading']), sizeMb: z.number(), flights: z.number() }),
  ),
  adapters: z.array(
    z.object({ model: z.string(), adapter: z.string(), state: z.enum(['loading', 'loaded', 'unloading']), flights: z.number() }),
  ),
  order: z.object({ epoch: z.number(), number: z.number(), state: z.enum(['running', 'done', 'defect']) }).optional(),
  parts: z.array(z.object({ model: z.string(), chain: z.string() })).default([]),
  /** Orders that this life of the server has taken. */
  sequence: z.number().optional(),
  /** An order is being carried out. */
  busy: z.boolean().optional(),
  running: z.number().optional(),
  queued: z.number().optional(),
})
export type Report = z.infer<typeof Report>
