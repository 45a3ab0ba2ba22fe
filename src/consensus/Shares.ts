/**
 * Limits that all proxies share (what a server bears, cold or warm), lent out by the leader. Half of a
 * limit is dealt out evenly and never lent, so that a fleet without a core serves on; the rest is lent
 * to the seats that ask for it. A grant rides in the renewal of a lease and dies with it. A share
 * taken back counts as lent until its holder has confirmed or its lease has surely lapsed; what was
 * lent of a cold server's limit to a seat that lapsed is not lent again, since its requests may still
 * be under way when the server is at its weakest. A new leader lends nothing anew until no lease of
 * its predecessor can be alive, and takes over what the seats say that they hold.
 */
import type { ShareAsk } from './ShareAsk.js'

interface Account {
  want: number
  lent: number
  sent: { serial: number; count: number }[]
}
const forgetLeases = 40

export class Shares {
  readonly #leaseMs: number
  readonly #accounts = new Map<string, { heardMs: number; seats: Map<string, Account> }>()
  readonly #heardMs = new Map<string, number>()
  #serial = 0
  #lendsFromMs = Infinity

  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs
  }

  /** What each seat has of a limit without asking. */
  static even(limit: number, seats: number): number {
    return seats === 0 ? 0 : Math.floor(limit / (2 * seats))
  }

  /** A new leader starts over; its serials follow on those of every leader before it. */
  begin(term: number, lendsFromMs: number): void {
    this.#accounts.clear()
    this.#heardMs.clear()
    this.#serial = term * 2 ** 24
    this.#lendsFromMs = lendsFromMs
  }

  /** A renewal: what the seat wants and holds, and the last serial that it saw. Gives what it may have from now on. */
  renew(
    seat: string,
    asks: readonly ShareAsk[],
    echo: number,
    poolOf: (key: string) => number,
    nowMs: number,
  ): { serial: number; shares: { key: string; count: number }[] } {
    this.#lapse(nowMs)
    this.#heardMs.set(seat, nowMs)
    this.#serial += 1
    const asked = new Map(asks.map((one) => [one.key, one]))
    for (const key of asked.keys()) if (!this.#accounts.has(key)) this.#accounts.set(key, { heardMs: nowMs, seats: new Map() })
    const shares: { key: string; count: number }[] = []
    for (const [key, book] of this.#accounts) {
      const ask = asked.get(key)
      let account = book.seats.get(seat)
      if (ask === undefined && account === undefined) continue
      book.heardMs = nowMs
      if (account === undefined) {
        account = { want: 0, lent: 0, sent: [] }
        book.seats.set(seat, account)
      }
      account.want = ask?.want ?? 0
      account.sent = account.sent.filter((one) => one.serial >= echo)
      account.lent = Math.max(ask?.held ?? 0, ...account.sent.map((one) => one.count))
      const count = this.#target(seat, account, book.seats, poolOf(key), nowMs)
      account.sent.push({ serial: this.#serial, count })
      account.lent = Math.max(account.lent, count)
      if (count > 0) shares.push({ key, count })
      if (account.want === 0 && account.lent === 0) book.seats.delete(seat)
    }
    return { serial: this.#serial, shares }
  }

  /** All that may be in use of a key, for the proof and for operators. */
  lent(key: string): number {
    return [...(this.#accounts.get(key)?.seats.values() ?? [])].reduce((sum, one) => sum + one.lent, 0)
  }

  /** Keys whose pool is lent out while some seat wants more. */
  exhausted(poolOf: (key: string) => number): string[] {
    return [...this.#accounts]
      .filter(([key, { seats }]) => [...seats.values()].some((one) => one.want > one.lent) && this.lent(key) >= poolOf(key))
      .map(([key]) => key)
  }

  #target(seat: string, account: Account, seats: ReadonlyMap<string, Account>, pool: number, nowMs: number): number {
    if (nowMs < this.#lendsFromMs) return Math.min(account.want, account.lent)
    const others = [...seats].filter(([name]) => name !== seat).map(([, one]) => one)
    const free = pool - others.reduce((sum, one) => sum + one.lent, 0)
    const starved = others.filter((one) => one.want > one.lent).length
    const fair = Math.max(1, Math.floor(pool / (1 + others.filter((one) => one.want > 0).length)))
    return Math.max(0, Math.min(account.want, starved > 0 ? Math.min(free, fair) : free))
  }

  #lapse(nowMs: number): void {
    for (const [key, book] of this.#accounts) {
      if (nowMs - book.heardMs > forgetLeases * this.#leaseMs) this.#accounts.delete(key)
      if (key.startsWith('cold/')) continue
      for (const seat of book.seats.keys())
        if (nowMs - (this.#heardMs.get(seat) ?? -Infinity) > 1.1 * this.#leaseMs) book.seats.delete(seat)
    }
  }
}
