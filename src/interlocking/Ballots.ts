/**
 * The round of ballots for a vacant duty. A core node that sees the vacancy stands after a short
 * random wait; each node gives one ballot a round, to whoever asks first; a majority lets the winner
 * put its name to the log, which has the last word, since a vacancy can be filled only once.
 */
import type { Chance } from '../gauge/Chance.js'
import type { Pace } from '../gauge/Pace.js'
import { strictEqual } from 'node:assert'
import { Chance as Chances } from '../gauge/Chance.js'
import { Pace as paceOf } from '../gauge/Pace.js'
import { proof } from '../gauge/proof.js'

export class Ballots {
  readonly #name: string
  readonly #pace: Pace
  readonly #chance: Chance
  #vacancy = -1
  #round = 0
  #standAtMs = Infinity
  #given = new Map<number, string>()
  #got = new Set<string>()

  constructor(name: string, pace: Pace, chance: Chance) {
    this.#name = name
    this.#pace = pace
    this.#chance = chance
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
    this.#standAtMs = nowMs + this.#pace.heartbeatMs * (2 + 4 * this.#chance.next())
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
    this.#standAtMs = nowMs + this.#chance.next() * this.#pace.heartbeatMs
  }
}

proof(import.meta.url, {
  'one round has at most one winner, and some round has one': () => {
    const pace = paceOf({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
    for (let seed = 0; seed < 200; seed++) {
      const names = ['a', 'b', 'c']
      const boxes = names.map((name, at) => new Ballots(name, pace, new Chances(seed * 3 + at)))
      const winners = new Map<number, string>()
      for (let nowMs = 0; nowMs < 3000; nowMs += 25) {
        boxes.forEach((box, at) => {
          const round = box.tick(7, nowMs)
          const name = names[at] ?? ''
          if (round === undefined) return
          boxes.forEach((other, to) => {
            if (to !== at && other.give(7, round, name, nowMs) && box.count(7, round, names[to] ?? '', 3)) {
              strictEqual(winners.get(round) ?? name, name)
              winners.set(round, name)
            }
          })
        })
      }
      strictEqual(winners.size > 0, true)
    }
  },
})
