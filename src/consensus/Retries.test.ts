import { test } from 'node:test'
import { ok, strictEqual } from 'node:assert'
import { Retries } from './Retries.js'

test('tries stay under the ratio plus the allowance, however they bunch', () => {
  const retries = new Retries(5000)
  let given = 0
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    retries.earn('s', 1, 0.15, 3, nowMs)
    if (nowMs % 5000 === 4000) for (let n = 0; n < 9; n++) if (retries.give(`${String(nowMs)}.${String(n)}`, 's', 3, nowMs)) given += 1
  }
  ok(given >= 12 * 2 && given <= 12 * 3)
})

test('one try costs one token however often it asks, and a quiet service has some in time', () => {
  const retries = new Retries(5000)
  strictEqual(retries.give('a', 's', 3, 0), false)
  strictEqual(retries.give('a', 's', 3, 10_000), true)
  strictEqual(retries.give('a', 's', 3, 10_001), true)
  strictEqual(retries.give('b', 's', 3, 10_002), false)
})
