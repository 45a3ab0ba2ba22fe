/**
 * What one step of the consensus log asks of its surroundings. Writes happen in order, and what stands
 * in `then` is sent only when that write and all before it are synced.
 */
import type { Message } from '../transport/Message.js'
import type { Entry } from './Entry.js'

export interface RaftOutput {
  sends: { to: string; message: Message }[]
  writes: { records: Uint8Array[]; rewrite: boolean; then: { to: string; message: Message }[] }[]
  applied: Entry[]
  adopted: { index: number; state: Uint8Array } | undefined
  readable: string[]
  lostReads: string[]
  says: string[]
}
