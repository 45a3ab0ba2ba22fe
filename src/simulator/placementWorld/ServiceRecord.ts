/**
 * What clients saw of each model and adapter: when they asked for it and how often they were served. Starved is what was
 * asked for at least four times over eight seconds and was never served.
 */
import { keyOf } from '../../placement/keyOf.js'
import type { RequestKind } from './RequestKind.js'

interface Asked {
  firstMs: number
  lastMs: number
  asked: number
  served: number
}
const leastAsked = 4
const leastSpanMs = 8000

export class ServiceRecord {
  readonly #keys = new Map<string, Asked>()
  /** Final refusals by kind and reason. */
  readonly refusals = new Map<string, number>()
  readonly #kinds = new Map<string, { asked: number; served: number; inTime: number }>()

  asked(kind: string, model: string, adapter: string, nowMs: number): void {
    this.#kind(kind).asked += 1
    for (const key of new Set([model, keyOf(model, adapter)])) {
      const found = this.#keys.get(key)
      if (found === undefined) this.#keys.set(key, { firstMs: nowMs, lastMs: nowMs, asked: 1, served: 0 })
      else {
        found.lastMs = nowMs
        found.asked += 1
      }
    }
  }

  served(kind: string, model: string, adapter: string, inTime: boolean): void {
    const counts = this.#kind(kind)
    counts.served += 1
    if (inTime) counts.inTime += 1
    for (const key of new Set([model, keyOf(model, adapter)])) {
      const found = this.#keys.get(key)
      if (found !== undefined) found.served += 1
    }
  }

  refused(kind: string, why: string, afterMs: number): void {
    const key = `${kind}: ${why}, ${afterMs < 3000 ? 'early' : 'late'}`
    this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1)
  }

  get steadilyAsked(): string[] {
    return [...this.#keys].flatMap(([key, one]) => (one.asked >= leastAsked && one.lastMs - one.firstMs >= leastSpanMs ? [key] : []))
  }

  get starved(): string[] {
    return this.steadilyAsked.filter((key) => this.#keys.get(key)?.served === 0)
  }

  /** What was earned of what requests of these kinds were worth: all of it in time, a part late, nothing if never served. */
  worth(kinds: readonly Pick<RequestKind, 'name' | 'worth' | 'lateWorth'>[]): number {
    let earned = 0
    let owed = 0
    for (const { name, worth, lateWorth } of kinds) {
      const { asked, served, inTime } = this.#kind(name)
      earned += worth * inTime + lateWorth * (served - inTime)
      owed += worth * asked
    }
    return owed === 0 ? 0 : earned / owed
  }

  /** The share of a kind's requests that were served, and that were served in time. */
  share(kind: string): { served: number; inTime: number } {
    const { asked, served, inTime } = this.#kind(kind)
    return { served: served / Math.max(1, asked), inTime: inTime / Math.max(1, asked) }
  }

  #kind(name: string): { asked: number; served: number; inTime: number } {
    let counts = this.#kinds.get(name)
    if (counts === undefined) {
      counts = { asked: 0, served: 0, inTime: 0 }
      this.#kinds.set(name, counts)
    }
    return counts
  }
}
