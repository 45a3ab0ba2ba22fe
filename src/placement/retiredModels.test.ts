/**
 * Models that the configuration no longer lists while servers hold them on.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { StandInFleet } from './testing/StandInFleet.js'

/** Sees to it that one server alone holds three models, as many as it has room for. */
function fullServer(): StandInFleet {
  const fleet = new StandInFleet(3, 0)
  fleet.start('i0', 'z0', ['m0', 'm1', 'm2'])
  fleet.run(4000)
  return fleet
}

/** Lets a request for each of these models wait until some server holds it. */
function askFor(fleet: StandInFleet, models: readonly string[]): void {
  fleet.run(15_000, () => {
    if (fleet.nowMs % 250 !== 0) return
    const waiting = models.filter((model) => fleet.holders(model).length === 0)
    const held = waiting.map((model) => ({ model: `s:${model}`, adapter: '', count: 1, dueInMs: 10_000 }))
    fleet.dispatcher.tally('edge', { session: 'x', adopted: 0, held, flights: [] }, [], fleet.nowMs)
  })
}

function retiredRows(fleet: StandInFleet): string[] {
  return fleet.copy.under('retired/').map(([key]) => key)
}

// Guards against a load beyond a server's room beside models that it holds but the configuration no longer lists (review/2).
test('retired models keep their size, make way for what is wanted, and are forgotten once they are gone', () => {
  const fleet = fullServer()
  fleet.configure(['m0', 'm3', 'm4'])
  deepStrictEqual(retiredRows(fleet), ['s:m1', 's:m2'])
  askFor(fleet, ['m3'])
  askFor(fleet, ['m4'])
  deepStrictEqual(fleet.falls, [])
  deepStrictEqual([...(fleet.servers.get('i0')?.models.keys() ?? [])], ['m0', 'm3', 'm4'], 'what is listed stays')
  deepStrictEqual(retiredRows(fleet), [])
  strictEqual(fleet.dispatcher.figures?.invariantViolations, 0)
})

test('a new scheduler counts retired models at their size, of the rows that the one before it left', () => {
  const fleet = fullServer()
  fleet.configure(['m0', 'm3', 'm4'])
  fleet.run(2000)
  fleet.changeScheduler()
  fleet.run(4000)
  askFor(fleet, ['m3'])
  fleet.changeScheduler()
  fleet.run(4000)
  askFor(fleet, ['m4'])
  deepStrictEqual(fleet.falls, [])
  ok(['m0', 'm3', 'm4'].every((model) => fleet.holders(model).length === 1))
})

test('beside a model whose size nobody knows nothing is loaded until it has left', () => {
  const fleet = fullServer()
  fleet.configure(['m0', 'm3'])
  for (const key of retiredRows(fleet)) fleet.put(`retired/${key}`, undefined)
  fleet.changeScheduler()
  fleet.run(4000)
  askFor(fleet, ['m3'])
  deepStrictEqual(fleet.falls, [])
  const orders = fleet.sent.map(({ order }) => `${order.kind} ${order.model}`)
  deepStrictEqual([...orders.slice(0, -1).sort(), orders.at(-1)], ['unload s:m1', 'unload s:m2', 'load s:m3'])
})

test('a model that is listed again counts as listed, and its row goes', () => {
  const fleet = fullServer()
  fleet.configure(['m0'])
  fleet.run(1000)
  fleet.configure(['m0', 'm1'])
  deepStrictEqual(retiredRows(fleet), ['s:m2'])
})
