/**
 * Bytes that come in pieces, gathered in one growing buffer up to a limit: what it holds depends on the number of bytes, not on that
 * of the pieces. What it holds is taken from a memory budget where a reservation is given.
 */
import type { MemoryReservation } from './MemoryReservation.js'

const leastCapacity = 4096

export class ByteBuffer {
  readonly #limitBytes: number
  readonly #memory: MemoryReservation | undefined
  readonly #expectedBytes: number
  #buffer: Buffer = Buffer.alloc(0)
  #length = 0
  /** How much the buffer of its own has room for; 0 while it holds a piece of somebody else's. */
  #capacity = 0

  /** `expectedBytes` is the length that the sender told, if it did: the buffer grows no further while no more come. */
  constructor(limitBytes: number, memory?: MemoryReservation, expectedBytes = limitBytes) {
    this.#limitBytes = limitBytes
    this.#memory = memory
    this.#expectedBytes = Math.min(expectedBytes, limitBytes)
  }

  get length(): number {
    return this.#length
  }

  /** What was appended, in order; valid until the next append or clear. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length)
  }

  /** Takes the piece over, or gives false and takes nothing of it if that would go beyond the limit or the memory budget. */
  append(piece: Buffer): boolean {
    const length = this.#length + piece.length
    if (length > this.#limitBytes) return false
    // A message of one piece, as most are, is not copied.
    if (this.#length === 0 && this.#capacity === 0) {
      if (this.#memory?.resize(piece.length) === false) return false
      this.#buffer = piece
    } else {
      if (!this.#reserve(length)) return false
      piece.copy(this.#buffer, this.#length)
    }
    this.#length = length
    return true
  }

  /** Forgets what was appended. */
  clear(): void {
    this.#buffer = Buffer.alloc(0)
    this.#length = 0
    this.#capacity = 0
    this.#memory?.resize(0)
  }

  #reserve(length: number): boolean {
    if (length <= this.#capacity) return true
    const capacity = Math.max(length, Math.min(Math.max(2 * length, leastCapacity), this.#expectedBytes))
    if (this.#memory?.resize(capacity) === false) return false
    const grown = Buffer.allocUnsafeSlow(capacity)
    this.bytes.copy(grown)
    this.#buffer = grown
    this.#capacity = capacity
    return true
  }
}
