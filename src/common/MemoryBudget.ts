/**
 * How much memory a process holds for others, in bytes, bounded in sum over all that it holds at a time. Whoever gathers bytes from
 * outside has a reservation, which grows before the bytes are kept and is released when they are no longer needed.
 */
import type { MemoryReservation } from './MemoryReservation.js'

/** Reservations up to this size have a part of the budget for themselves. */
const smallBytes = 65_536
/** The part of the budget that larger reservations leave free. */
const smallRatio = 0.125

/** What is held for one purpose. */
interface PartUse {
  bytes: number
  peakBytes: number
  refusals: number
}

export class MemoryBudget {
  readonly #limitBytes: number
  readonly #largeLimitBytes: number
  readonly #uses = new Map<string, PartUse>()
  #bytes = 0

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes
    this.#largeLimitBytes = limitBytes * (1 - smallRatio)
  }

  /** What is held now, over all parts. */
  get bytes(): number {
    return this.#bytes
  }

  /** What each part holds and held at the most, in bytes, and how often it got nothing. */
  get uses(): ReadonlyMap<string, Readonly<PartUse>> {
    return this.#uses
  }

  /** A reservation for one message, of no bytes yet. */
  reserve(part: string): MemoryReservation {
    const use = this.#useOf(part)
    let heldBytes = 0
    let isReleased = false
    let isRefused = false
    const resize = (bytes: number) => {
      if (isReleased || (bytes > heldBytes && !this.#hasRoom(heldBytes, bytes))) {
        isRefused = true
        use.refusals += 1
        return false
      }
      this.#change(use, bytes - heldBytes)
      heldBytes = bytes
      return true
    }
    return {
      get isRefused() {
        return isRefused
      },
      resize,
      release: () => {
        if (!isReleased) resize(0)
        isReleased = true
      },
    }
  }

  #hasRoom(heldBytes: number, wantedBytes: number): boolean {
    const limitBytes = wantedBytes > smallBytes ? this.#largeLimitBytes : this.#limitBytes
    return this.#bytes - heldBytes + wantedBytes <= limitBytes
  }

  #change(use: PartUse, bytes: number): void {
    this.#bytes += bytes
    use.bytes += bytes
    use.peakBytes = Math.max(use.peakBytes, use.bytes)
  }

  #useOf(part: string): PartUse {
    const known = this.#uses.get(part)
    if (known !== undefined) return known
    const use = { bytes: 0, peakBytes: 0, refusals: 0 }
    this.#uses.set(part, use)
    return use
  }
}
