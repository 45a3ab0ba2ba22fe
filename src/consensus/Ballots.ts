/**
 * The round of ballots for a vacant duty. A core node that sees the vacancy stands after a short
 * random wait; each node gives one ballot a round, to whoever asks first; a majority lets the winner
 * put its name to the log, which has the last word, since a vacancy can be filled only once.
 */
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'

export class Ballots {
  readonly #name: string
  readonly #timings: Timings
  readonly #random: Random
  #vacancy = -1
  #round = 0
  #standAtMs = Infinity
  #given = new Map<number, string>()
  #got = new Set<string>()

  constructor(name: string, timings: Timings, random: Random) {
    this.#name = name
    this.#timings = timings
    this.#random = random
  }

  /** Gives the round to ask for, when it is time to stand. */
  tick(vacancy: number | undefined, nowMs: number): number | undefined {
    if (vacancy === undefined) {
      this.#vacancy = -1
      return undefined
    }
    if (vacancy !== this.#vacancy) this.#begin(vacancy, nowMs)
    if (nowMs < this.#standAtMs) return undefined
    this.#round += 1
    this.#standAtMs = nowMs + this.#timings.heartbeatMs * (2 + 4 * this.#random.next())
    this.#got = new Set()
    if (this.give(vacancy, this.#round, this.#name, nowMs)) this.#got.add(this.#name)
    return this.#round
  }

  give(vacancy: number, round: number, to: string, nowMs: number): boolean {
    if (vacancy !== this.#vacancy) this.#begin(vacancy, nowMs)
    if (round > this.#round) this.#round = round
    const holder = this.#given.get(round) ?? to
    this.#given.set(round, holder)
    return holder === to
  }

  /** True when this ballot makes a majority of this round. */
  count(vacancy: number, round: number, from: string, seats: number): boolean {
    if (vacancy !== this.#vacancy || round !== this.#round) return false
    const before = this.#got.size
    this.#got.add(from)
    return this.#got.size > before && this.#got.size * 2 > seats && before * 2 <= seats
  }

  #begin(vacancy: number, nowMs: number): void {
    this.#vacancy = vacancy
    this.#round = 0
    this.#given = new Map()
    this.#got = new Set()
    this.#standAtMs = nowMs + this.#random.next() * this.#timings.heartbeatMs
  }
}
