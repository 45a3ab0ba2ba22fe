import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { digest } from '../common/digest.js'
import type { Observation } from './Observation.js'
import { linear } from './linear.js'

type Wrote = Extract<Observation, { kind: 'wrote' }>

const write = (operation: string, atMs: number, text: string, more: Partial<Wrote> = {}): Wrote => ({
  kind: 'wrote',
  atMs,
  operation,
  action: 'charter.put',
  branch: '',
  text,
  ifMatch: -1,
  ...more,
})

const ack = (operation: string, atMs: number, stamp: number): Observation => ({ kind: 'acknowledged', atMs, operation, stamp })
const whole = (stamp: number, text: string): Observation => ({ kind: 'wholeBack', atMs: 99, stamp, text })
const made = (...entries: [number, string][]): Observation => ({
  kind: 'history',
  atMs: 99,
  entries: entries.map(([stamp, operation]) => ({ stamp, operation })),
})

const read = (fromMs: number, atMs: number, stamp: number, text: string): Observation => ({
  kind: 'read',
  fromMs,
  atMs,
  stamp,
  sum: digest(text),
})

test('an orderly history passes, and each way out of order is told', () => {
  const base = [write('a', 0, '{"x":1}'), ack('a', 5, 1), write('b', 6, '{"y":2}', { action: 'charter.patch' }), ack('b', 9, 2)]
  const merged = `${JSON.stringify({ x: 1, y: 2 }, null, 2)}\n`
  const back = [whole(1, '{"x":1}'), whole(2, merged), made([1, 'a'], [2, 'b'])]
  deepStrictEqual(linear([...base, read(1, 4, 0, ''), read(6, 8, 1, '{"x":1}'), ...back]), [])
  const told = (...more: Observation[]) => linear(more).length
  deepStrictEqual(told(...base, whole(1, '{"x":1}'), whole(2, '{"x":1}'), made([1, 'a'], [2, 'b'])), 1)
  deepStrictEqual(told(...base, whole(1, '{"x":1}'), made([1, 'a'])), 0)
  deepStrictEqual(told(...base, read(10, 12, 1, '{"x":1}'), ...back), 1)
  deepStrictEqual(told(...base, read(6, 8, 2, '{"x":1}'), ...back), 1)
  deepStrictEqual(told(...base, whole(1, merged), whole(2, '{"x":1}'), made([1, 'b'], [2, 'a'])) > 0, true)
  deepStrictEqual(told(...base, ...back.slice(0, 2), made([1, 'a'], [2, 'b'], [3, 'c'])), 1)
})

test('a condition is checked by the moments it could have been met', () => {
  const base = [write('a', 0, '{}'), ack('a', 5, 1), whole(1, '{}')]
  const not = (atMs: number): Observation => ({ kind: 'notTaken', atMs, operation: 'c', status: 412 })
  deepStrictEqual(linear([...base, write('c', 6, '{}', { ifMatch: 1 }), not(9), made([1, 'a'])]).length, 1)
  deepStrictEqual(
    linear([...base, write('c', 6, '{}', { ifMatch: 1 }), not(9), write('b', 7, '{}'), whole(2, '{}'), made([1, 'a'], [2, 'b'])]).length,
    0,
  )
  deepStrictEqual(linear([...base, write('c', 6, '{}', { ifMatch: 7 }), whole(2, '{}'), made([1, 'a'], [2, 'c'])]).length, 1)
})
