/**
 * A server as the platform lists it. The rows under `server/` carry it without `models`, which change too
 * often for the log and go to the dispatcher alone. In a network a server's name is that of its life: a
 * server that starts anew has another one.
 */
import { z } from 'zod'
import { Address } from './Address.js'

export const PlatformServer = z.object({
  name: z.string().min(1),
  address: Address,
  zone: z.string(),
  draining: z.boolean().default(false),
  service: z.string().optional(),
  /** Requests that it works on at once. */
  capacity: z.number().optional(),
  /** It bears only few requests a second for now. */
  cold: z.boolean().optional(),
  models: z.array(z.object({ model: z.string(), adapters: z.array(z.string()) })).optional(),
})
export type PlatformServer = z.infer<typeof PlatformServer>
