import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import type { Observation } from './Observation.js'
import { StandInServer } from './StandInServer.js'

test('it writes down an order over its room, a second order, and a stale epoch it turned away', () => {
  const seen: Observation[] = []
  const server = new StandInServer(
    { name: 's', zone: 'a', roomMb: 10, places: 1, loadMbPerS: 10, checksEpoch: true, enforcesEpoch: true, warmMs: 0, coldLimit: 1 },
    'i',
    0,
    (one) => seen.push(one),
  )
  const order = (epoch: number, number: number, model: string, sizeMb: number, nowMs: number) =>
    server.take({ epoch, number, kind: 'load', model, adapter: '', sizeMb }, nowMs)
  strictEqual(order(5, 1, 'a', 8, 0), 202)
  strictEqual(order(5, 2, 'b', 8, 1), 409)
  strictEqual(server.allows('a', '', 799), false)
  strictEqual(server.allows('a', '', 800), true)
  strictEqual(order(4, 9, 'b', 1, 900), 409)
  strictEqual(order(5, 3, 'b', 8, 900), 202)
  strictEqual(order(5, 2, 'c', 1, 901), 409)
  strictEqual(
    seen
      .filter((one) => one.kind === 'broke')
      .map((one) => one.rule)
      .join(),
    'twoOrders,room',
  )
})
