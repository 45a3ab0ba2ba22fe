/**
 * What one tick of the dispatcher asks for: rows to put to the log under its epoch, servers to read,
 * orders to send, and sentences for the log.
 */
import type { Order } from '../common/Order.js'

export interface DispatcherOut {
  rows: { key: string; gone: boolean; value: string }[]
  asks: { server: string; address: string }[]
  orders: { server: string; address: string; order: Order }[]
  says: string[]
  /** Broken invariants of the placement, for the log. */
  warns: string[]
}
