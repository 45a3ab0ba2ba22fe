/**
 * Bytes that come in pieces, gathered in one growing buffer up to a limit: what it holds depends on the number of bytes, not on that
 * of the pieces.
 */
const leastCapacity = 4096

export class ByteBuffer {
  readonly #limitBytes: number
  #buffer: Buffer = Buffer.alloc(0)
  #length = 0
  /** How much the buffer of its own has room for; 0 while it holds a piece of somebody else's. */
  #capacity = 0

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  get length(): number {
    return this.#length
  }

  /** What was appended, in order; valid until the next append or clear. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length)
  }

  /** Takes the piece over, or gives false and takes nothing of it if that would go beyond the limit. */
  append(piece: Buffer): boolean {
    const length = this.#length + piece.length
    if (length > this.#limitBytes) return false
    // A message of one piece, as most are, is not copied.
    if (this.#length === 0 && this.#capacity === 0) this.#buffer = piece
    else {
      this.#reserve(length)
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
  }

  #reserve(length: number): void {
    if (length <= this.#capacity) return
    this.#capacity = Math.min(Math.max(2 * length, leastCapacity), this.#limitBytes)
    const grown = Buffer.allocUnsafeSlow(this.#capacity)
    this.bytes.copy(grown)
    this.#buffer = grown
  }
}
