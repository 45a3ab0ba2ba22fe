/**
 * A server as the platform's list shows it.
 */
import type { SoakHolding } from './SoakHolding.js'

export interface SoakListed {
  server: string
  service: string
  address: string
  zone: string
  capacity: number
  /** Nothing for a server without models. */
  models: SoakHolding['models'] | undefined
}
