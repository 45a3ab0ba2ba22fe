import { doesNotMatch, match, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Meters } from '../common/Meters.js'
import type { OrderFigures } from '../placement/OrderFigures.js'
import type { PlacementFigures } from '../placement/PlacementFigures.js'
import { placementMetrics } from './placementMetrics.js'

const figures: PlacementFigures = {
  wantsHeld: 1,
  wantsBusy: 2,
  wantsForecast: 3,
  wantsSpare: 4,
  modelsHeldNowhere: 5,
  oldestUnmetWantMs: 6,
  firstCopies: 7,
  furtherCopies: 8,
  serversIdle: 9,
  serversLoading: 10,
  invariantViolations: 11,
  unmetComing: 12,
  unmetNoIdleServer: 13,
  unmetNoVictim: 14,
  unmetStorePace: 15,
  unmetStoreConcurrency: 16,
  serversUnloading: 17,
  serversAttaching: 18,
  loadsStarted: 19,
  loadsDone: 20,
  unloadsStarted: 21,
}
const expected: Record<string, number> = {
  wants_held: 1,
  wants_busy: 2,
  wants_forecast: 3,
  wants_spare: 4,
  models_held_nowhere: 5,
  oldest_unmet_want_ms: 6,
  first_copies: 7,
  further_copies: 8,
  servers_idle: 9,
  servers_loading: 10,
  invariant_violations: 11,
  unmet_coming: 12,
  unmet_no_idle_server: 13,
  unmet_no_victim: 14,
  unmet_store_pace: 15,
  unmet_store_concurrency: 16,
  servers_unloading: 17,
  servers_attaching: 18,
  loads_started: 19,
  loads_done: 20,
  unloads_started: 21,
}
const orders: OrderFigures = {
  tasks: [{ phase: 'sent', kind: 'load', count: 2 }],
  orders: [{ kind: 'unload', stage: 'done', count: 3 }],
}

test('each figure of the dispatcher is a gauge of its own, read once, and orders are told with their labels', async () => {
  const meters = new Meters('control', 'box-1', 'read')
  let readings = 0
  const read = () => {
    readings += 1
    return figures
  }
  placementMetrics(meters, read, () => orders)
  const text = await meters.text()
  for (const [name, value] of Object.entries(expected))
    match(text, new RegExp(`^springpaddle_placement_${name}\\{[^}]*\\} ${String(value)}$`, 'm'))
  match(text, /^springpaddle_tasks\{phase="sent",kind="load",[^}]*\} 2$/m)
  match(text, /^springpaddle_order_stages\{kind="unload",stage="done",[^}]*\} 3$/m)
  strictEqual(readings, 1)
})

test('a node without the duty tells none of them, and begins and ends to with it', async () => {
  const meters = new Meters('control', 'box-1', 'read')
  let dispatches = false
  placementMetrics(
    meters,
    () => (dispatches ? figures : undefined),
    () => (dispatches ? orders : undefined),
  )
  const told = /^springpaddle_(placement_|tasks\{|order_stages\{)/m
  doesNotMatch(await meters.text(), told)
  dispatches = true
  match(await meters.text(), told)
  dispatches = false
  doesNotMatch(await meters.text(), told)
})
