/**
 * The allowance of further tries, kept by the leader for each service over all proxies together. A
 * token is lent to one try by its name, so asking again for the same try costs nothing more. Tokens come
 * from first tries by the charter's ratio and, slowly, by themselves, so that a quiet service has some
 * too: what lies ready and what comes within a window add up to the allowance. A new leader starts with
 * none, for it cannot know what its predecessor has just given.
 */

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
