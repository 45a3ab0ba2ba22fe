import { test } from 'node:test'
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { Random } from '../common/Random.js'
import { Shares } from './Shares.js'

test('one seat that asks gets all, and gives back before another gets more', () => {
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
})

test('what a lapsed seat had of a cold server is not lent again; of a warm one it is', () => {
  const shares = new Shares(800)
  shares.begin(1, 0)
  for (const key of ['cold/s/1', 'serve/s']) {
    shares.renew('a', [{ key, want: 4, held: 0 }], 0, () => 4, 1)
    deepStrictEqual(shares.renew('b', [{ key, want: 4, held: 0 }], 0, () => 4, 2000).shares.length, key === 'serve/s' ? 1 : 0)
  }
})

test('a new leader lends nothing anew at first, and keeps what is held', () => {
  const shares = new Shares(800)
  shares.begin(2, 1000)
  deepStrictEqual(shares.renew('a', [{ key: 'serve/s', want: 4, held: 3 }], 0, () => 4, 10).shares, [{ key: 'serve/s', count: 3 }])
  deepStrictEqual(shares.renew('b', [{ key: 'serve/s', want: 4, held: 0 }], 0, () => 4, 20).shares, [])
  shares.renew('a', [{ key: 'serve/s', want: 4, held: 3 }], 0, () => 4, 900)
  deepStrictEqual(shares.renew('b', [{ key: 'serve/s', want: 4, held: 0 }], 0, () => 4, 1020).shares, [{ key: 'serve/s', count: 1 }])
})

test('however renewals are lost, late and interleaved, the sum in use stays within the pool', () => {
  for (let seed = 0; seed < 60; seed++) {
    const random = new Random(seed)
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
      const one = random.pick(holders)
      if (one === undefined) continue
      if (nowMs >= one.untilMs) one.count = 0
      if (random.hit(0.3)) one.want = random.below(6)
      one.use = Math.max(Math.min(one.use, random.below(6)), Math.min(one.count, one.want))
      const reply = shares.renew(
        one.name,
        [{ key: 'serve/s', want: one.want, held: Math.max(one.use, one.count) }],
        one.serial,
        () => 4,
        nowMs,
      )
      if (!random.hit(0.2)) one.late.push({ serial: reply.serial, count: reply.shares[0]?.count ?? 0, untilMs: nowMs + 800 })
      const came = random.hit(0.95) ? one.late.shift() : undefined
      if (came !== undefined && nowMs < came.untilMs && came.serial > one.serial)
        Object.assign(one, { serial: came.serial, count: came.count, untilMs: came.untilMs })
      const used = holders.reduce((sum, holder) => sum + (nowMs < holder.untilMs ? holder.count : 0), 0)
      ok(used <= 4, `seed ${String(seed)}: ${String(used)} of 4`)
      most = Math.max(most, used)
    }
    strictEqual(most >= 3, true)
  }
})
