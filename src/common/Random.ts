/**
 * A small seeded generator (mulberry32). State machines draw from one that they are handed, so that
 * a simulated run is the same for the same seed; daemons seed theirs from the system.
 */

export class Random {
  #state: number

  constructor(seed: number) {
    this.#state = seed >>> 0
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0
    let t = this.#state
    t = Math.imul(t ^ (t >>> 15), t | 1)
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61)
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296
  }

  below(limit: number): number {
    return Math.floor(this.next() * limit)
  }

  between(low: number, high: number): number {
    return low + this.next() * (high - low)
  }

  hit(probability: number): boolean {
    return this.next() < probability
  }

  pick<T>(items: readonly T[]): T | undefined {
    return items[this.below(items.length)]
  }

  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next())
  }

  fork(): Random {
    return new Random(this.below(4294967296))
  }
}
