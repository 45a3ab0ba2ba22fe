/**
 * Limits that all turnouts share (what a server bears, cold or warm), lent out by the leader. Half of a
 * limit is dealt out evenly and never lent, so that a fleet without a core serves on; the rest is lent
 * to the seats that ask for it. A grant rides in the renewal of a licence and dies with it. A share
 * taken back counts as lent until its holder has confirmed or its licence has surely lapsed; what was
 * lent of a cold server's limit to a seat that lapsed is not lent again, since its requests may still
 * be under way when the server is at its weakest. A new leader lends nothing anew until no licence of
 * its predecessor can be alive, and takes over what the seats say that they hold.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { Chance } from '../gauge/Chance.js'
import { proof } from '../gauge/proof.js'
import type { ShareAsk } from './ShareAsk.js'

interface Account {
  want: number
  lent: number
  sent: { serial: number; count: number }[]
}
const forgetLicences = 40

export class Shares {
  readonly #licenceMs: number
  readonly #accounts = new Map<string, { heardMs: number; seats: Map<string, Account> }>()
  readonly #heardMs = new Map<string, number>()
  #serial = 0
  #lendsFromMs = Infinity

  constructor(licenceMs: number) {
    this.#licenceMs = licenceMs
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
      if (nowMs - book.heardMs > forgetLicences * this.#licenceMs) this.#accounts.delete(key)
      if (key.startsWith('cold/')) continue
      for (const seat of book.seats.keys())
        if (nowMs - (this.#heardMs.get(seat) ?? -Infinity) > 1.1 * this.#licenceMs) book.seats.delete(seat)
    }
  }
}

proof(import.meta.url, {
  'one seat that asks gets all, and gives back before another gets more': () => {
    const shares = new Shares(800)
    shares.begin(1, 0)
    const pool = () => 4
    const ask = (seat: string, want: number, held: number, echo: number, nowMs: number) =>
      shares.renew(seat, [{ key: 'cold/s/1', want, held }], echo, pool, nowMs)
    const first = ask('a', 9, 0, 0, 1)
    deepStrictEqual(first.shares, [{ key: 'cold/s/1', count: 4 }])
    deepStrictEqual(ask('b', 2, 0, 0, 2).shares, [])
    const lower = ask('a', 9, 4, first.serial, 3)
    deepStrictEqual(lower.shares, [{ key: 'cold/s/1', count: 2 }])
    deepStrictEqual(ask('b', 2, 0, 0, 4).shares, [])
    ask('a', 9, 2, lower.serial, 5)
    deepStrictEqual(ask('b', 2, 0, 0, 6).shares, [{ key: 'cold/s/1', count: 2 }])
  },
  'what a lapsed seat had of a cold server is not lent again; of a warm one it is': () => {
    const shares = new Shares(800)
    shares.begin(1, 0)
    for (const key of ['cold/s/1', 'serve/s']) {
      shares.renew('a', [{ key, want: 4, held: 0 }], 0, () => 4, 1)
      deepStrictEqual(shares.renew('b', [{ key, want: 4, held: 0 }], 0, () => 4, 2000).shares.length, key === 'serve/s' ? 1 : 0)
    }
  },
  'a new leader lends nothing anew at first, and keeps what is held': () => {
    const shares = new Shares(800)
    shares.begin(2, 1000)
    deepStrictEqual(shares.renew('a', [{ key: 'serve/s', want: 4, held: 3 }], 0, () => 4, 10).shares, [{ key: 'serve/s', count: 3 }])
    deepStrictEqual(shares.renew('b', [{ key: 'serve/s', want: 4, held: 0 }], 0, () => 4, 20).shares, [])
    shares.renew('a', [{ key: 'serve/s', want: 4, held: 3 }], 0, () => 4, 900)
    deepStrictEqual(shares.renew('b', [{ key: 'serve/s', want: 4, held: 0 }], 0, () => 4, 1020).shares, [{ key: 'serve/s', count: 1 }])
  },
  'however renewals are lost, late and interleaved, the sum in use stays within the pool': () => {
    for (let seed = 0; seed < 60; seed++) {
      const chance = new Chance(seed)
      const shares = new Shares(800)
      shares.begin(1, 0)
      const holders = ['a', 'b', 'c', 'd', 'e'].map((name) => ({
        name,
        want: 0,
        count: 0,
        use: 0,
        serial: 0,
        untilMs: 0,
        late: [{ serial: 0, count: 0, untilMs: 0 }],
      }))
      let most = 0
      for (let nowMs = 0; nowMs < 20_000; nowMs += 25) {
        const one = chance.pick(holders)
        if (one === undefined) continue
        if (nowMs >= one.untilMs) one.count = 0
        if (chance.hit(0.3)) one.want = chance.below(6)
        one.use = Math.max(Math.min(one.use, chance.below(6)), Math.min(one.count, one.want))
        const reply = shares.renew(
          one.name,
          [{ key: 'serve/s', want: one.want, held: Math.max(one.use, one.count) }],
          one.serial,
          () => 4,
          nowMs,
        )
        if (!chance.hit(0.2)) one.late.push({ serial: reply.serial, count: reply.shares[0]?.count ?? 0, untilMs: nowMs + 800 })
        const came = chance.hit(0.95) ? one.late.shift() : undefined
        if (came !== undefined && nowMs < came.untilMs && came.serial > one.serial)
          Object.assign(one, { serial: came.serial, count: came.count, untilMs: came.untilMs })
        const used = holders.reduce((sum, holder) => sum + (nowMs < holder.untilMs ? holder.count : 0), 0)
        ok(used <= 4, `seed ${String(seed)}: ${String(used)} of 4`)
        most = Math.max(most, used)
      }
      strictEqual(most >= 3, true)
    }
  },
})
