/**
 * A simulated disk: writes take time and are kept in order. With the power, each write that is not yet
 * synced is kept, lost or torn by itself, and at some losses all of them are gone; what a node then reads is what
 * the scan of the log makes of that. It can stall, and it can be lost whole.
 */
import type { Random } from '../common/Random.js'
import { SimClock } from './SimClock.js'

interface Job {
  readonly records: readonly Uint8Array[]
  readonly rewrite: boolean
}

const allGoneRatio = 0.25

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
  #inFlight: Job[] = []

  constructor(clock: SimClock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  write(records: readonly Uint8Array[], rewrite: boolean, done: () => void): void {
    this.watch?.()
    const power = this.#power
    const job: Job = { records, rewrite }
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

  cutPower(): void {
    if (!this.lies && !this.#random.hit(allGoneRatio)) this.records = this.#scanned()
    this.#inFlight = []
    this.#power += 1
    this.#freeAtMs = 0
  }

  lose(): void {
    this.cutPower()
    this.records = []
  }

  /** The whole records up to the first write that was lost or torn, and those at the front of a torn one. */
  #scanned(): Uint8Array[] {
    let records = this.records
    for (const job of this.#inFlight) {
      const kept = this.#keptOf(job)
      if (job.rewrite && kept === job.records.length) records = [...job.records]
      else if (!job.rewrite) records = [...records, ...job.records.slice(0, kept)]
      if (kept < job.records.length) break
    }
    return records
  }

  /** How many records of a write in flight are whole; none of a rewrite unless all, as its name was not yet synced. */
  #keptOf({ records, rewrite }: Job): number {
    const fate = this.#random.pick(['kept', 'lost', 'torn'] as const)
    if (fate === 'kept') return records.length
    if (fate === 'lost' || rewrite) return 0
    return this.#random.below(records.length + 1)
  }
}
