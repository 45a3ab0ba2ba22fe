/**
 * One order as a server saw it and answered it.
 */
import type { SoakOrder } from './SoakOrder.js'

export interface SoakOrderSeen extends SoakOrder {
  server: string
  atMs: number
  status: number
  /** What it would fill of the server, when it is taken. */
  fillsMb: number
  fillsPlaces: number
  /** Whether the weights come from the store, not from the server's own disk. */
  fromStore: boolean
}
