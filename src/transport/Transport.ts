/**
 * What every transport offers: messages go to an address and may be lost, late or doubled, never
 * changed. A process hears them through `hear`, with the sender's name and the address to write
 * back to.
 */
import type { Message } from './Message.js'

export interface Transport {
  readonly address: string
  /** The cluster that this process belongs to, once it knows; what comes from another one is dropped. */
  cluster: string
  /** Counts of what was dropped, reset and is open, for the meters. */
  readonly figures: Record<string, number>
  send(toAddress: string, message: Message): void
  hear(listener: (from: string, fromAddress: string, message: Message) => void): void
  close(): Promise<void>
}
