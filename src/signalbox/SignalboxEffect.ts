/**
 * What a signalbox's machine asks its tasks to do. Writes are carried out in order; what stands in
 * `then` goes out when that write is synced.
 */
import type { Order } from '../gauge/Order.js'
import type { Message } from '../telegraph/Message.js'

export type SignalboxEffect =
  | { kind: 'send'; toAddress: string; message: Message }
  | { kind: 'write'; records: Uint8Array[]; rewrite: boolean; then: { toAddress: string; message: Message }[] }
  | { kind: 'respond'; id: string; status: number; stamp: number; text: string }
  | { kind: 'askPlatform'; askedMs: number }
  | { kind: 'ask'; server: string; address: string; tenure: number; askedMs: number }
  | { kind: 'order'; server: string; address: string; order: Order }
  | { kind: 'say'; part: string; sentence: string }
