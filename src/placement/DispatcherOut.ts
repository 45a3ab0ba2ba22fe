/**
 * What one tick of the dispatcher asks for: rows to put to the log under its epoch, servers to read,
 * orders to send, and reasons to keep.
 */
import type { Order } from '../common/Order.js'

export interface DispatcherOut {
  rows: { key: string; gone: boolean; value: string }[]
  asks: { server: string; address: string }[]
  orders: { server: string; address: string; order: Order }[]
  says: string[]
}
