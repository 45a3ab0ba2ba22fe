/**
 * This gateway's part of the budget for further tries, one for each service. The budget over all gateways
 * is a share of the requests in a window and an allowance; each earns the share on its own requests and has
 * an even part of the allowance, refilled over the window, so that the sum stays inside without a word between them.
 */
interface Pool {
  tokens: number
  atMs: number
}
const useRatio = 0.8

export class TryBudget {
  readonly #ratio: number
  readonly #allowance: number
  readonly #windowMs: number
  readonly #pools = new Map<string, Pool>()

  constructor(ratio: number, allowance: number, windowMs: number) {
    this.#ratio = ratio
    this.#allowance = allowance
    this.#windowMs = windowMs
  }

  earn(service: string, members: number, nowMs: number): void {
    const pool = this.#pool(service, members, nowMs)
    pool.tokens = Math.min(this.#most(members), pool.tokens + useRatio * this.#ratio)
  }

  take(service: string, members: number, nowMs: number): boolean {
    const pool = this.#pool(service, members, nowMs)
    if (pool.tokens < 1) return false
    pool.tokens -= 1
    return true
  }

  #most(members: number): number {
    return (0.5 * useRatio * this.#allowance) / members
  }

  #pool(service: string, members: number, nowMs: number): Pool {
    const most = this.#most(members)
    const pool = this.#pools.get(service) ?? { tokens: most, atMs: nowMs }
    pool.tokens = Math.min(most, pool.tokens + (most * (nowMs - pool.atMs)) / this.#windowMs)
    pool.atMs = nowMs
    this.#pools.set(service, pool)
    return pool
  }
}
