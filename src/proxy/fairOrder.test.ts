import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { fairOrder } from './fairOrder.js'
import type { RequestState } from './RequestState.js'

const waits = (id: string, partner: string, dueMs: number): RequestState => ({
  id,
  target: { kind: 'service', name: 's' },
  partner,
  bytes: 0,
  arrivedMs: 0,
  dueMs,
  dueGiven: true,
  phase: 'held',
  attempt: 0,
  server: '',
  sends: 0,
  mayHaveRun: false,
  grantedUntilMs: -Infinity,
  lapses: 0,
  impatient: false,
  notBeforeMs: 0,
  boundMs: 0,
  sentMs: 0,
  lastWhy: '',
})
const order = (waiting: RequestState[], turn: number) => fairOrder(waiting, turn).map((one) => one.id)

test('partners take turns, each by deadline, and the first one changes with the turn', () => {
  const waiting = [waits('a3', 'a', 30), waits('a1', 'a', 10), waits('b2', 'b', 20), waits('a4', 'a', 40)]
  deepStrictEqual(order(waiting, 0), ['a1', 'b2', 'a3', 'a4'])
  deepStrictEqual(order(waiting, 1), ['b2', 'a1', 'a3', 'a4'])
  deepStrictEqual(order(waiting, 2), ['a1', 'b2', 'a3', 'a4'])
  deepStrictEqual(order([], 5), [])
})
