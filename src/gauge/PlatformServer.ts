/**
 * A server as the platform lists it, and as the rows under `server/` carry it.
 */
import { z } from 'zod'
import { Address } from './Address.js'

export const PlatformServer = z.object({
  name: z.string().min(1),
  address: Address,
  zone: z.string(),
  draining: z.boolean().default(false),
})
export type PlatformServer = z.infer<typeof PlatformServer>
