/**
 * A simulated disk: writes take time and are kept in order, and what is not yet synced is lost with
 * the power. It can stall, and it can be lost whole.
 */
import type { Random } from '../common/Random.js'
import { SimClock } from './SimClock.js'

export class SimDisk {
  records: Uint8Array[] = []
  stalledUntilMs = 0
  /** A broken variant for the proof: says that a write is synced before it is. */
  lies = false
  readonly #clock: SimClock
  readonly #random: Random
  #freeAtMs = 0
  #power = 0
  /** Told of each write as it begins. */
  watch: (() => void) | undefined
  #inFlight: { records: readonly Uint8Array[]; rewrite: boolean }[] = []

  constructor(clock: SimClock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  write(records: readonly Uint8Array[], rewrite: boolean, done: () => void): void {
    this.watch?.()
    const power = this.#power
    const job = { records, rewrite }
    this.#inFlight.push(job)
    const tookMs = records.length === 0 ? 0 : this.#random.between(0.3, 3)
    this.#freeAtMs = Math.max(this.#freeAtMs, this.#clock.nowMs, this.stalledUntilMs) + tookMs
    if (this.lies)
      this.#clock.after(0, () => {
        if (power === this.#power) done()
      })
    this.#clock.at(this.lies ? this.#freeAtMs + 3000 : this.#freeAtMs, () => {
      if (power !== this.#power) return
      this.#inFlight = this.#inFlight.filter((one) => one !== job)
      this.records = rewrite ? [...records] : [...this.records, ...records]
      if (!this.lies) done()
    })
  }

  /** What was being written may be there in part: whole records from its front, never of a rewrite. */
  cutPower(): void {
    const torn = this.#inFlight[0]
    if (torn !== undefined && !torn.rewrite && !this.lies)
      this.records = [...this.records, ...torn.records.slice(0, this.#random.below(torn.records.length + 1))]
    this.#inFlight = []
    this.#power += 1
    this.#freeAtMs = 0
  }

  lose(): void {
    this.cutPower()
    this.records = []
  }
}
