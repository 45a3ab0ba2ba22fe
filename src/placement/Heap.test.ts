import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { Heap } from './Heap.js'

test('items leave from the top down', () => {
  const heap = new Heap<number>((a, b) => a - b)
  for (const n of [5, 1, 9, 3, 7, 9, 0]) heap.push(n)
  deepStrictEqual(
    Array.from({ length: 8 }, () => heap.pop()),
    [9, 9, 7, 5, 3, 1, 0, undefined],
  )
})
