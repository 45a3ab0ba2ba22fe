/**
 * Bytes that come in pieces, gathered up to a limit: what it holds depends on the number of bytes, not on that of the pieces. Short
 * messages are gathered in one growing buffer, long ones in blocks. What it holds is taken from a memory budget where a reservation
 * is given.
 */
import { BlockPool } from './BlockPool.js'
import type { MemoryReservation } from './MemoryReservation.js'

const { blockBytes } = BlockPool
const leastCapacity = 4096

export class ByteBuffer {
  readonly #limitBytes: number
  readonly #memory: MemoryReservation | undefined
  readonly #expectedBytes: number
  #length = 0
  /** The beginning, up to a block's size; or the whole message where it came in one piece. */
  #first: Buffer = Buffer.alloc(0)
  #firstLength = 0
  /** How much the first buffer has room for; 0 while it is a piece of somebody else's. */
  #firstCapacity = 0
  /** What follows it. */
  #blocks: Buffer[] = []

  /** `expectedBytes` is the length that the sender told, if it did: a short message's buffer grows no further while no more come. */
  constructor(limitBytes: number, memory?: MemoryReservation, expectedBytes = limitBytes) {
    this.#limitBytes = limitBytes
    this.#memory = memory
    this.#expectedBytes = Math.min(expectedBytes, limitBytes)
  }

  get length(): number {
    return this.#length
  }

  /** What was appended, in order; valid until the next append or clear. A long message is copied at each call. */
  get bytes(): Buffer {
    const first = this.#first.subarray(0, this.#firstLength)
    return this.#blocks.length === 0 ? first : Buffer.concat([first, ...this.#blocks], this.#length)
  }

  /** Gives what was appended to the caller for good, and holds nothing any more; the memory stays reserved. */
  take(): Buffer {
    const { bytes } = this
    this.#forget()
    return bytes
  }

  /** Takes the piece over, or gives false and takes nothing of it if that would go beyond the limit or the memory budget. */
  append(piece: Buffer): boolean {
    const length = this.#length + piece.length
    if (length > this.#limitBytes) return false
    // A message of one piece, as most are, is not copied.
    if (this.#length === 0 && this.#firstCapacity === 0) {
      if (this.#memory?.resize(piece.length) === false) return false
      this.#first = piece
      this.#firstLength = piece.length
    } else {
      if (!this.#reserve(length)) return false
      this.#copy(piece)
    }
    this.#length = length
    return true
  }

  /** Forgets what was appended. */
  clear(): void {
    this.#forget()
    this.#memory?.resize(0)
  }

  #forget(): void {
    BlockPool.giveBack(this.#blocks)
    this.#blocks = []
    this.#first = Buffer.alloc(0)
    this.#firstLength = 0
    this.#firstCapacity = 0
    this.#length = 0
  }

  #reserve(length: number): boolean {
    const firstCapacity = this.#firstCapacityFor(length)
    const blocks = Math.max(0, Math.ceil((length - firstCapacity) / blockBytes))
    if (this.#memory?.resize(firstCapacity + blocks * blockBytes) === false) return false
    this.#growFirst(firstCapacity)
    while (this.#blocks.length < blocks) this.#blocks.push(BlockPool.take())
    return true
  }

  #firstCapacityFor(length: number): number {
    if (this.#blocks.length > 0 || length <= this.#firstCapacity) return this.#firstCapacity
    const wanted = Math.max(length, Math.min(Math.max(2 * length, leastCapacity), this.#expectedBytes))
    return Math.max(this.#firstLength, Math.min(wanted, blockBytes))
  }

  #growFirst(capacity: number): void {
    if (capacity === this.#firstCapacity) return
    const grown = Buffer.allocUnsafeSlow(capacity)
    this.#first.copy(grown, 0, 0, this.#firstLength)
    this.#first = grown
    this.#firstCapacity = capacity
  }

  #copy(piece: Buffer): void {
    let copied = piece.copy(this.#first, this.#firstLength)
    this.#firstLength += copied
    while (copied < piece.length) {
      const at = this.#length + copied - this.#firstCapacity
      const block = this.#blocks[Math.floor(at / blockBytes)]
      if (block === undefined) return
      copied += piece.copy(block, at % blockBytes, copied)
    }
  }
}
