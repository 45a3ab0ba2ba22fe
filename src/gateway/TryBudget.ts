/**
 * This gateway's part of the budget for further tries, one for each service. The budget over all gateways
 * is a share of the requests in a window and an allowance; each earns the share on its own requests and has
 * an even part of the allowance, refilled over the window, so that the sum stays inside without a word between them.
 * A process that starts knows neither what its earlier life has spent nor, for a moment, how many gateways there are,
 * so that it has next to nothing at first. Gateways that the leader does not hear any more may still be at work:
 * their parts stay theirs for a while.
 */
interface Pool {
  tokens: number
  atMs: number
}
/** The part of the ratio and of the allowance that is used; what is left is for processes that start anew. */
const useRatio = 0.8
/** For so many windows the allowance is divided by the greatest number of gateways there was. */
const rememberedWindows = 12

export class TryBudget {
  readonly #ratio: number
  readonly #allowance: number
  readonly #windowMs: number
  readonly #pools = new Map<string, Pool>()
  /** When this life of the budget was first used. */
  #sinceMs: number | undefined
  #members = { count: 0, atMs: -Infinity }

  constructor(ratio: number, allowance: number, windowMs: number) {
    this.#ratio = ratio
    this.#allowance = allowance
    this.#windowMs = windowMs
  }

  earn(service: string, members: number, nowMs: number): void {
    const pool = this.#pool(service, members, nowMs)
    pool.tokens = Math.min(this.#most, pool.tokens + useRatio * this.#ratio)
  }

  take(service: string, members: number, nowMs: number): boolean {
    const pool = this.#pool(service, members, nowMs)
    if (pool.tokens < 1) return false
    pool.tokens -= 1
    return true
  }

  get #most(): number {
    return (0.5 * useRatio * this.#allowance) / this.#members.count
  }

  get #first(): number {
    return Math.min(1, this.#most, ((1 - useRatio) * this.#allowance) / this.#members.count)
  }

  #count(members: number, nowMs: number): void {
    if (members < this.#members.count && nowMs - this.#members.atMs <= rememberedWindows * this.#windowMs) return
    this.#members = { count: members, atMs: nowMs }
  }

  #pool(service: string, members: number, nowMs: number): Pool {
    this.#count(members, nowMs)
    this.#sinceMs ??= nowMs
    const pool = this.#pools.get(service) ?? { tokens: this.#first, atMs: this.#sinceMs }
    pool.tokens = Math.min(this.#most, pool.tokens + (this.#most * (nowMs - pool.atMs)) / this.#windowMs)
    pool.atMs = nowMs
    this.#pools.set(service, pool)
    return pool
  }
}
