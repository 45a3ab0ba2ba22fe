/**
 * What is held of the first frames of connections that have brought no message of this cluster yet. Whoever connects may send a small
 * frame; larger ones share a bound, and the connection that has held its part longest makes way for others.
 */
interface Holder {
  close: () => void
}

/** A frame up to this size is never refused. */
const smallBytes = 16_384

export class Strangers {
  readonly #limitBytes: number
  /** Those that hold more than a small frame, in the order in which they came to. */
  readonly #held = new Map<Holder, number>()
  #bytes = 0

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  get bytes(): number {
    return this.#bytes
  }

  /** Counts so many bytes of a stranger's frame, and closes those that make way for it: the only one may go over the bound. */
  hold(holder: Holder, bytes: number): void {
    if (bytes <= smallBytes) return
    this.#bytes += bytes - (this.#held.get(holder) ?? 0)
    this.#held.set(holder, bytes)
    for (const other of this.#held.keys()) {
      if (this.#bytes <= this.#limitBytes) break
      if (other === holder) continue
      this.delete(other)
      other.close()
    }
  }

  /** The holder is known now, or gone. */
  delete(holder: Holder): void {
    this.#bytes -= this.#held.get(holder) ?? 0
    this.#held.delete(holder)
  }
}
