/**
 * Bounds what is read in one turn of the event loop, by work and not by bytes: once a turn has brought so many pieces of bodies or requests, all
 * other connections are held up, and take turns: at first those whose bodies cost little, more of them each turn, then the others
 * one at a time.
 */
import type { TurnReader } from './TurnReader.js'

/** The work of one turn after which other connections are held up; a piece of a body is one. */
const mostWork = 4000

export class ReadTurns {
  readonly #readers: () => Iterable<TurnReader>
  readonly #waiting = new Set<TurnReader>()
  #work = 0
  #isCounting = false
  #batch = 1
  /** How often connections were held up. */
  holdUps = 0

  constructor(readers: () => Iterable<TurnReader>) {
    this.#readers = readers
  }

  /** Counts work that a connection brought; a piece of a body is one. */
  count(work: number): void {
    const wasFull = this.#work >= mostWork
    this.#work += work
    if (!this.#isCounting) {
      this.#isCounting = true
      setImmediate(this.#endTurn)
    }
    if (!wasFull && this.#work >= mostWork) this.#holdAll()
  }

  delete(reader: TurnReader): void {
    this.#waiting.delete(reader)
  }

  #holdAll(): void {
    this.holdUps += 1
    this.#batch = 1
    for (const reader of this.#readers()) {
      if (reader.hold.isHeld) continue
      reader.hold.hold()
      this.#waiting.add(reader)
    }
  }

  readonly #endTurn = (): void => {
    const wasFull = this.#work >= mostWork
    this.#work = 0
    this.#isCounting = this.#waiting.size > 0
    if (!this.#isCounting) return
    if (!wasFull) this.#batch *= 2
    this.#releaseSome()
    setImmediate(this.#endTurn)
  }

  #releaseSome(): void {
    let left = this.#batch
    for (const reader of this.#waiting) {
      if (left === 0) return
      if (reader.isCostly) continue
      left -= 1
      this.#release(reader)
    }
    if (left < this.#batch) return
    const [costly] = this.#waiting
    if (costly !== undefined) this.#release(costly)
  }

  #release(reader: TurnReader): void {
    this.#waiting.delete(reader)
    if (!reader.isBlocked) reader.hold.release()
  }
}
