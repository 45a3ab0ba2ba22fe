import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { lru } from './lru.js'

test('the least recently requested leaves first', () => {
  const resident = (key: string, lastMs: number) => ({
    key,
    lastMs,
    nextMs: 0,
    windowFromMs: 0,
    windowToMs: 0,
    surprise: 0,
    size: 1,
    doubled: false,
  })
  const victims = lru.evict(
    { nextMs: 0, windowFromMs: 0, windowToMs: 0, size: 2 },
    [resident('new', 9), resident('old', 1), resident('mid', 5)],
    0,
    0,
    0,
  )
  deepStrictEqual(
    victims?.map((one) => one.key),
    ['old', 'mid'],
  )
})
