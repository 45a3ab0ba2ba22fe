/**
 * The allowance of further tries, kept by the leader for each service over all turnouts together. A
 * token is lent to one try by its name, so asking again for the same try costs nothing more. Tokens come
 * from first tries by the charter's ratio and, slowly, by themselves, so that a quiet service has some
 * too: what lies ready and what comes within a window add up to the allowance. A new leader starts with
 * none, for it cannot know what its predecessor has just given.
 */
import { ok, strictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'

interface Pool {
  tokens: number
  atMs: number
}
const readyRatio = 0.8

export class Retries {
  readonly #windowMs: number
  readonly #pools = new Map<string, Pool>()
  readonly #given = new Map<string, number>()

  constructor(windowMs: number) {
    this.#windowMs = windowMs
  }

  begin(): void {
    this.#pools.clear()
    this.#given.clear()
  }

  earn(key: string, firsts: number, ratio: number, allowance: number, nowMs: number): void {
    const pool = this.#pool(key, allowance, nowMs)
    pool.tokens = Math.min(readyRatio * allowance, pool.tokens + firsts * ratio)
  }

  /** True when the try may go on: it was given its token before, or one is left. */
  give(id: string, key: string, allowance: number, nowMs: number): boolean {
    if (this.#given.has(id)) return true
    const pool = this.#pool(key, allowance, nowMs)
    if (pool.tokens < 1) return false
    pool.tokens -= 1
    this.#given.set(id, nowMs)
    for (const [old, atMs] of this.#given) {
      if (nowMs - atMs < 4 * this.#windowMs) break
      this.#given.delete(old)
    }
    return true
  }

  #pool(key: string, allowance: number, nowMs: number): Pool {
    const pool = this.#pools.get(key) ?? { tokens: 0, atMs: nowMs }
    this.#pools.set(key, pool)
    const slow = ((1 - readyRatio) * allowance * (nowMs - pool.atMs)) / this.#windowMs
    pool.tokens = Math.min(readyRatio * allowance, pool.tokens + slow)
    pool.atMs = nowMs
    return pool
  }
}

proof(import.meta.url, {
  'tries stay under the ratio plus the allowance, however they bunch': () => {
    const retries = new Retries(5000)
    let given = 0
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      retries.earn('s', 1, 0.15, 3, nowMs)
      if (nowMs % 5000 === 4000) for (let n = 0; n < 9; n++) if (retries.give(`${String(nowMs)}.${String(n)}`, 's', 3, nowMs)) given += 1
    }
    ok(given >= 12 * 2 && given <= 12 * 3)
  },
  'one try costs one token however often it asks, and a quiet service has some in time': () => {
    const retries = new Retries(5000)
    strictEqual(retries.give('a', 's', 3, 0), false)
    strictEqual(retries.give('a', 's', 3, 10_000), true)
    strictEqual(retries.give('a', 's', 3, 10_001), true)
    strictEqual(retries.give('b', 's', 3, 10_002), false)
  },
})
