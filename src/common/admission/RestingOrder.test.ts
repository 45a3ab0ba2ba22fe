import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../Random.js'
import { RestingOrder } from './RestingOrder.js'

test('the connection that has rested longest makes way, one with a request under way never does', () => {
  const order = new RestingOrder<string>(2)
  strictEqual(order.add('a'), undefined)
  strictEqual(order.add('b'), undefined)
  order.begin('a')
  strictEqual(order.add('c'), 'b')
  order.begin('c')
  strictEqual(order.add('d'), 'd', 'where none rests the new one makes way')
  order.rest('a')
  strictEqual(order.add('e'), 'a')
  deepStrictEqual([...order.all], ['c', 'e'])
})

test('for any order of arrivals, requests, rests and ends the bound holds and no connection with a request is closed', () => {
  const random = new Random(11)
  const most = 5
  const order = new RestingOrder<number>(most)
  const busy = new Set<number>()
  for (let at = 0; at < 20_000; at++) {
    const known = [...order.all]
    const one = known[random.below(Math.max(1, known.length))] ?? -1
    switch (random.below(4)) {
      case 0: {
        const closed = order.add(at)
        ok(closed === undefined || !busy.has(closed))
        break
      }
      case 1:
        order.begin(one)
        if (order.all.has(one)) busy.add(one)
        break
      case 2:
        order.rest(one)
        busy.delete(one)
        break
      default:
        order.delete(one)
        busy.delete(one)
    }
    ok(order.size <= most)
  }
})
