/**
 * Puts the chunks of a snapshot together. Only a chunk that continues what is held counts; a chunk of another
 * snapshot, or of another leader's, begins anew.
 */
import { ReplicatedLog } from './ReplicatedLog.js'
import type { Message } from '../transport/Message.js'
import type { Snapshot } from './Snapshot.js'

type Chunk = Extract<Message, { kind: 'installSnapshot' }>

export class SnapshotReceiver {
  #source = ''
  #chunks: Uint8Array[] = []
  #bytes = 0

  /** Bytes held of the snapshot that is arriving. */
  get bytes(): number {
    return this.#bytes
  }

  /** Gives the snapshot once it is whole. */
  add(chunk: Chunk): Snapshot | undefined {
    const source = `${chunk.from} ${String(chunk.term)} ${String(chunk.index)} ${String(chunk.lastTerm)} ${String(chunk.totalBytes)}`
    if (source !== this.#source) this.#begin(source)
    if (chunk.offset === this.#bytes) {
      this.#chunks.push(chunk.state)
      this.#bytes += chunk.state.length
    }
    if (this.#bytes < chunk.totalBytes) return undefined
    const state = new Uint8Array(Buffer.concat(this.#chunks))
    this.#begin('')
    return { index: chunk.index, term: chunk.lastTerm, members: ReplicatedLog.readMembers(chunk.members), state }
  }

  #begin(source: string): void {
    this.#source = source
    this.#chunks = []
    this.#bytes = 0
  }
}
