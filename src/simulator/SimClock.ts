/**
 * Virtual time: events in a queue, carried out in order of their time and then of their making. It
 * keeps a running hash of what happened, so that two runs of a seed can be told to be the same.
 */
import { digest } from '../common/digest.js'
import { Heap } from '../placement/Heap.js'

export class SimClock {
  nowMs = 0
  trace = 0
  #made = 0
  readonly #queue = new Heap<{ atMs: number; order: number; run: () => void }>((a, b) => b.atMs - a.atMs || b.order - a.order)

  at(atMs: number, run: () => void): void {
    this.#made += 1
    this.#queue.push({ atMs: Math.max(atMs, this.nowMs), order: this.#made, run })
  }

  after(waitMs: number, run: () => void): void {
    this.at(this.nowMs + waitMs, run)
  }

  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run()
      this.every(periodMs, run)
    })
  }

  note(what: string): void {
    this.trace = digest(`${String(this.trace)} ${this.nowMs.toFixed(3)} ${what}`)
  }

  /** Runs the next event; false when none is left. */
  turn(): boolean {
    const event = this.#queue.pop()
    if (event === undefined) return false
    this.nowMs = event.atMs
    event.run()
    return true
  }

  until(endMs: number): void {
    let open = true
    this.at(endMs, () => {
      open = false
    })
    while (open && this.turn());
  }
}
