/**
 * The placement's figures among a control node's metrics. A node without the dispatcher duty has none, and then
 * they are left out rather than told as 0.
 */
import type { Meters } from '../common/Meters.js'
import type { OrderFigures } from '../placement/OrderFigures.js'
import type { PlacementFigures } from '../placement/PlacementFigures.js'

const helps: Readonly<Record<keyof PlacementFigures, string>> = {
  wantsHeld: 'models and adapters wanted because requests wait for them',
  wantsBusy: 'further copies wanted because those there bear no more',
  wantsForecast: 'models and adapters wanted because requests are forecast',
  wantsSpare: 'second copies wanted in another zone',
  modelsHeldNowhere: 'models and adapters that were asked for lately and that no server holds',
  oldestUnmetWantMs: 'how long the oldest of these has been held nowhere',
  unmetComing: 'of these, planned or being loaded',
  unmetNoIdleServer: 'of these, without a server that is free of orders',
  unmetNoVictim: 'of these, without a copy that may make way',
  unmetStorePace: "of these, held up by the weight store's pace",
  unmetStoreConcurrency: 'of these, held up by the number of loads at once',
  firstCopies: 'models that some server holds',
  furtherCopies: "copies beyond each model's first",
  serversIdle: 'servers that take orders and have none under way',
  serversUnloading: 'servers with an unload or detach under way',
  serversLoading: 'servers with a load under way',
  serversAttaching: 'servers with an attach under way',
  loadsStarted: 'loads begun under this duty',
  loadsDone: 'loads known to be done under this duty',
  unloadsStarted: 'unloads begun under this duty',
  invariantViolations: "failed checks of the placement's invariants",
}

function nameOf(field: string): string {
  return `placement_${field.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}`
}

function named<T>(values: Readonly<Record<string, T>>): Record<string, T> {
  return Object.fromEntries(Object.entries(values).map(([field, value]) => [nameOf(field), value]))
}

export function placementMetrics(
  meters: Meters,
  figures: () => PlacementFigures | undefined,
  orders: () => OrderFigures | undefined,
): void {
  meters.gauges(named(helps), () => named({ ...figures() }))
  meters.readGauge('tasks', 'orders under way, by phase and kind', ['phase', 'kind'], () =>
    (orders()?.tasks ?? []).map(({ phase, kind, count }) => ({ labels: { phase, kind }, value: count })),
  )
  meters.readCounter('order_stages', 'orders since the duty was taken, by kind and stage', ['kind', 'stage'], () =>
    (orders()?.orders ?? []).map(({ kind, stage, count }) => ({ labels: { kind, stage }, value: count })),
  )
}
