import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { SimClock } from './SimClock.js'

test('events run in order of time, then of making', () => {
  const clock = new SimClock()
  const seen: string[] = []
  clock.after(5, () => seen.push('late'))
  clock.after(1, () => {
    seen.push('first')
    clock.after(0, () => seen.push('third'))
  })
  clock.after(1, () => seen.push('second'))
  clock.until(4)
  deepStrictEqual(seen, ['first', 'second', 'third'])
  clock.until(6)
  strictEqual(seen.length, 4)
})
