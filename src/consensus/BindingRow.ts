/**
 * What proxies may use a model server for: its incarnation and the weights and adapters (as
 * `model/adapter`) that it holds and that no order is about to take away.
 */
import { z } from 'zod'

export const BindingRow = z.object({ incarnation: z.string(), models: z.array(z.string()), adapters: z.array(z.string()) })
export type BindingRow = z.infer<typeof BindingRow>
