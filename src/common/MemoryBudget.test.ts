import { deepStrictEqual, notStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { MemoryBudget } from './MemoryBudget.js'
import type { MemoryReservation } from './MemoryReservation.js'
import { Random } from './Random.js'

const limitBytes = 1_000_000

/** Messages that come, grow, and end or die in any order; gives the most that the budget held, and what it holds after the last. */
function play(seed: number, release: (reservation: MemoryReservation) => void): { most: number; left: number } {
  const random = new Random(seed)
  const budget = new MemoryBudget(limitBytes)
  const open: { reservation: MemoryReservation; bytes: number }[] = []
  let most = 0
  for (let turn = 0; turn < 500; turn++) {
    if (random.hit(0.3)) open.push({ reservation: budget.reserve(random.hit(0.5) ? 'requests' : 'answers'), bytes: 0 })
    const one = random.pick(open)
    if (one === undefined) continue
    const wanted = one.bytes + random.below(200_000)
    if (one.reservation.resize(wanted)) one.bytes = wanted
    strictEqual(
      budget.bytes,
      open.reduce((sum, { bytes }) => sum + bytes, 0),
    )
    if (one.reservation.isRefused || random.hit(0.2)) {
      one.reservation.release()
      open.splice(open.indexOf(one), 1)
    }
    most = Math.max(most, budget.bytes)
  }
  for (const { reservation } of open) release(reservation)
  return { most, left: budget.bytes }
}

test('for any order of arrivals, growths, ends and deaths the budget is never exceeded and ends at nothing', () => {
  for (let seed = 1; seed <= 200; seed++) {
    const { most, left } = play(seed, (reservation) => {
      reservation.release()
    })
    ok(most <= limitBytes && most > limitBytes / 2, String(most))
    strictEqual(left, 0)
  }
})

test('a reservation that is never given back is found', () => {
  notStrictEqual(play(1, () => undefined).left, 0)
})

test('large messages leave room for small ones', () => {
  const budget = new MemoryBudget(limitBytes)
  strictEqual(budget.reserve('requests').resize(900_000), false)
  strictEqual(budget.reserve('requests').resize(875_000), true)
  strictEqual(budget.reserve('requests').resize(100_000), false)
  strictEqual(budget.reserve('requests').resize(60_000), true)
  strictEqual(budget.reserve('requests').resize(65_000), true)
  strictEqual(budget.reserve('requests').resize(1), false)
})

test('a reservation may shrink when there is no room, and does nothing once it is released', () => {
  const budget = new MemoryBudget(limitBytes)
  const one = budget.reserve('requests')
  one.resize(500_000)
  strictEqual(one.resize(2_000_000), false)
  strictEqual(one.resize(100_000), true)
  one.release()
  one.release()
  strictEqual(one.resize(1), false)
  strictEqual(budget.bytes, 0)
  deepStrictEqual(budget.uses.get('requests'), { bytes: 0, peakBytes: 500_000, refusals: 2 })
})
