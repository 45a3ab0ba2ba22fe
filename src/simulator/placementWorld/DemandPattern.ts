/**
 * What the clients of the simulated fleet ask for: kinds of requests, each with a rate and the models that it draws from.
 * A kind with `activeAtOnce` draws from that many of its models at a time, and a shift replaces some of them.
 */
import type { Random } from '../../common/Random.js'
import type { RequestKind } from './RequestKind.js'

interface Draw {
  model: string
  adapter: string
  /** Which of the kind's chains of shared prompt parts it begins with. */
  chain: number
}
interface Shift {
  atMs: number
  count: number
}

export class DemandPattern {
  readonly kind: RequestKind
  readonly #random: Random
  readonly #shifts: readonly Shift[]
  readonly #active: string[]
  #waiting: string[]
  #nextMs: number
  #shifted = 0

  constructor(kind: RequestKind, shifts: readonly Shift[], random: Random, fromMs: number) {
    this.kind = kind
    this.#random = random
    this.#shifts = shifts
    this.#active = kind.models.slice(0, kind.activeAtOnce)
    this.#waiting = kind.models.slice(kind.activeAtOnce)
    this.#nextMs = fromMs + random.exponential(1000 / kind.perS)
  }

  get active(): readonly string[] {
    return this.#active
  }

  /** The requests that arrive up to a moment. */
  due(nowMs: number, fromMs: number): Draw[] {
    this.#shift(nowMs - fromMs)
    const requests: Draw[] = []
    while (this.#nextMs <= nowMs) {
      requests.push(this.#draw())
      this.#nextMs += this.#random.exponential(1000 / this.kind.perS)
    }
    return requests
  }

  #shift(passedMs: number): void {
    const shift = this.#shifts[this.#shifted]
    if (shift === undefined || passedMs < shift.atMs) return
    this.#shifted += 1
    const count = Math.min(shift.count, this.#waiting.length, this.#active.length)
    const gone = this.#active.splice(0, count)
    this.#active.push(...this.#waiting.slice(0, count))
    this.#waiting = [...this.#waiting.slice(count), ...gone]
  }

  #draw(): Draw {
    const weights = this.#active.map((_, at) => 1 / (at + 1) ** this.kind.skew)
    let left = this.#random.next() * weights.reduce((sum, weight) => sum + weight, 0)
    let at = 0
    while (at < weights.length - 1 && left >= (weights[at] ?? 0)) {
      left -= weights[at] ?? 0
      at += 1
    }
    const adapter = this.#random.hit(this.kind.adapterShare) ? (this.#random.pick(this.kind.adapters) ?? '') : ''
    return { model: this.#active[at] ?? '', adapter, chain: this.#random.below(Math.max(1, this.kind.chains)) }
  }
}
