import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { readSeeds } from './readSeeds.js'

test('one seed, a range, and several of these', () => {
  deepStrictEqual(readSeeds('7'), [7])
  deepStrictEqual(readSeeds('1..3'), [1, 2, 3])
  deepStrictEqual(readSeeds('9, 2..3'), [9, 2, 3])
})

test('what is no seed is refused', () => {
  for (const text of ['', 'x', '3..1', '1...3', '1..999999', '-1']) strictEqual(readSeeds(text), undefined)
})
