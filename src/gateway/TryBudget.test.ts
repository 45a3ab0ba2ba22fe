import { test } from 'node:test'
import { ok } from 'node:assert'
import { Random } from '../common/Random.js'
import { TryBudget } from './TryBudget.js'

const ratio = 0.2
const allowance = 58
const windowMs = 10_000
const stepMs = 100

interface Fleet {
  gateways: TryBudget[]
  /** How many gateways each one believes in. */
  believed: number[]
}

const fresh = () => new TryBudget(ratio, allowance, windowMs)

/**
 * Gateways that have requests now and then and would send every one of them again many times, while `change` is done to them.
 * Gives the most further tries of all of them in a window over what the window, the one before it or that half before it allow.
 */
function most(count: number, requestsPerS: number, lastsMs: number, change: (fleet: Fleet, nowMs: number) => void): number {
  const random = new Random(7)
  const fleet: Fleet = { gateways: Array.from({ length: count }, fresh), believed: Array.from({ length: count }, () => count) }
  const requests: number[] = []
  const again: number[] = []
  for (let nowMs = 0; nowMs < lastsMs; nowMs += stepMs) {
    change(fleet, nowMs)
    let came = 0
    let tries = 0
    fleet.gateways.forEach((gateway, at) => {
      const members = fleet.believed[at] ?? 1
      if (random.hit((requestsPerS * stepMs) / 1000 / fleet.gateways.length)) {
        gateway.earn('app', members, nowMs)
        came += 1
      }
      // Quiet and hungry spells in turn, so that what was saved is spent at once.
      if (nowMs % 25_000 >= 12_000) while (gateway.take('app', members, nowMs)) tries += 1
    })
    requests.push(came)
    again.push(tries)
  }
  const within = (list: readonly number[], from: number) =>
    list.slice(Math.max(0, from), Math.max(0, from + windowMs / stepMs)).reduce((sum, one) => sum + one, 0)
  const half = windowMs / stepMs / 2
  return again.reduce(
    (worst, _, from) =>
      Math.max(
        worst,
        within(again, from) - ratio * Math.max(within(requests, from), within(requests, from - half), within(requests, from - 2 * half)),
      ),
    0,
  )
}

for (const count of [1, 3, 9, 20, 100])
  test(`${String(count)} gateways together stay within the budget`, () => {
    for (const perS of [2, 40]) {
      const worst = most(count, perS, 120_000, () => undefined)
      ok(worst <= allowance, `${worst.toFixed(1)} over the ratio at ${String(perS)} requests a second`)
    }
  })

test('gateways that all start anew within a window stay within the budget', () => {
  const worst = most(9, 2, 120_000, ({ gateways }, nowMs) => {
    // One after another from the start of a hungry spell on.
    if (nowMs % 25_000 >= 13_000 && nowMs % 25_000 < 13_900) gateways[(nowMs % 25_000) / 100 - 130] = fresh()
  })
  ok(worst <= allowance, `${worst.toFixed(1)} over the ratio`)
})

test('gateways that start anew and do not know of one another yet stay within the budget', () => {
  const worst = most(9, 2, 120_000, (fleet, nowMs) => {
    if (nowMs % 25_000 === 13_000) {
      fleet.gateways = fleet.gateways.map(fresh)
      fleet.believed = fleet.believed.map(() => 1)
    }
    // A new leader hears of them one by one.
    if (nowMs % 25_000 === 13_500) fleet.believed = fleet.believed.map((_, at) => 1 + at)
    if (nowMs % 25_000 === 14_000) fleet.believed = fleet.believed.map(() => 9)
  })
  ok(worst <= allowance, `${worst.toFixed(1)} over the ratio`)
})

test('gateways of which some are cut off from the leader, so that the others count fewer, stay within the budget', () => {
  const worst = most(9, 2, 120_000, (fleet, nowMs) => {
    if (nowMs === 40_000) fleet.believed = fleet.believed.map((_, at) => (at < 8 ? 9 : 1))
    if (nowMs === 90_000) fleet.believed = fleet.believed.map(() => 9)
  })
  ok(worst <= allowance, `${worst.toFixed(1)} over the ratio`)
})

test('gateways that join and leave stay within the budget', () => {
  const random = new Random(3)
  const worst = most(6, 2, 240_000, (fleet, nowMs) => {
    if (nowMs % 3000 !== 0) return
    if (fleet.gateways.length < 20 && random.hit(0.5)) fleet.gateways.push(fresh())
    else if (fleet.gateways.length > 3) fleet.gateways.splice(random.below(fleet.gateways.length), 1)
    fleet.believed = fleet.gateways.map(() => fleet.gateways.length)
  })
  ok(worst <= allowance, `${worst.toFixed(1)} over the ratio`)
})

test('few gateways do send again: what the allowance and the ratio give is not kept back', () => {
  const budget = fresh()
  ok(budget.take('app', 9, 0))
  let tries = 0
  for (let nowMs = 0; nowMs <= windowMs; nowMs += stepMs) {
    budget.earn('app', 9, nowMs)
    if (budget.take('app', 9, nowMs)) tries += 1
  }
  ok(tries >= 0.8 * ratio * 100, `${String(tries)} further tries on 101 requests`)
})
