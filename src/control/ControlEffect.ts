/**
 * What a control node's machine asks its tasks to do. Writes are carried out in order; what stands in
 * `then` goes out when that write is synced.
 */
import type { Order } from '../common/Order.js'
import type { Message } from '../transport/Message.js'

export type ControlEffect =
  | { kind: 'send'; toAddress: string; message: Message }
  | { kind: 'write'; records: Uint8Array[]; rewrite: boolean; then: { toAddress: string; message: Message }[] }
  | { kind: 'respond'; id: string; status: number; stamp: number; text: string }
  | { kind: 'askPlatform'; askedMs: number }
  | { kind: 'ask'; server: string; address: string; epoch: number; askedMs: number }
  | { kind: 'order'; server: string; address: string; order: Order }
  | { kind: 'say' | 'warn'; part: string; sentence: string }
