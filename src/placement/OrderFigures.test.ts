import { deepStrictEqual } from 'node:assert'
import { test } from 'node:test'
import type { Order } from '../common/Order.js'
import { OrderFigures } from './OrderFigures.js'
import { OrderReasons } from './OrderReasons.js'

const order = (kind: Order['kind']): Order => ({ epoch: 1, number: 1, kind, model: 's:m', adapter: '', sizeMb: 1 })
const task = (kind: Order['kind'], phase: 'withdrawing' | 'proposed' | 'sent') => ({
  task: { order: order(kind), phase, sinceMs: 0, sentMs: 0, incarnation: '' },
})

test('tasks are counted by phase and kind, servers without one not at all', () => {
  const servers = [task('load', 'sent'), task('unload', 'withdrawing'), { task: undefined }, task('load', 'sent'), task('load', 'proposed')]
  deepStrictEqual(OrderFigures.of(servers, []), {
    tasks: [
      { phase: 'sent', kind: 'load', count: 2 },
      { phase: 'withdrawing', kind: 'unload', count: 1 },
      { phase: 'proposed', kind: 'load', count: 1 },
    ],
    orders: [],
  })
})

test('orders are counted by kind and stage, beyond the reasons that are kept', () => {
  const reasons = new OrderReasons()
  for (let at = 0; at < 300; at += 1) {
    reasons.add('s-1', order('load'), 'requests wait for it', at)
    reasons.add('s-1', order('load'), at % 3 === 0 ? 'the server could not' : 'done', at)
  }
  reasons.add('s-1', order('unload'), 'makes way for s:n: requests wait for it', 300)
  reasons.add('s-1', order('unload'), 'agreed to', 301)
  for (const why of ['never reached the server', 'it was so already', 'streams in flight outlasted the wait'])
    reasons.add('s-1', order('attach'), why, 302)
  deepStrictEqual(reasons.counts, [
    { kind: 'load', stage: 'started', count: 300 },
    { kind: 'load', stage: 'failed', count: 100 },
    { kind: 'load', stage: 'done', count: 200 },
    { kind: 'unload', stage: 'started', count: 1 },
    { kind: 'unload', stage: 'done', count: 1 },
    { kind: 'attach', stage: 'failed', count: 3 },
  ])
})
