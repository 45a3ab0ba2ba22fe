/**
 * What the placement scheduler can say of itself at a moment, for logs and metrics. Counts are of now, but for the
 * totals, which only rise while the node holds the dispatcher duty.
 */
export interface PlacementFigures {
  /** Wants by kind: requests wait, a crowd needs more copies, a request is forecast, a spare copy in another zone. */
  wantsHeld: number
  wantsBusy: number
  wantsForecast: number
  wantsSpare: number
  /** Models and adapters that were asked for lately and that no server holds, and how long the oldest has been so. */
  modelsHeldNowhere: number
  oldestUnmetWantMs: number
  /** Why these are not being loaded now. */
  unmetComing: number
  unmetNoIdleServer: number
  unmetNoVictim: number
  unmetStorePace: number
  unmetStoreConcurrency: number
  /** Models that some server holds, and the copies of them beyond each one's first. */
  firstCopies: number
  furtherCopies: number
  /** Servers by what their order does. */
  serversIdle: number
  serversUnloading: number
  serversLoading: number
  serversAttaching: number
  /** Totals. */
  loadsStarted: number
  loadsDone: number
  unloadsStarted: number
  invariantViolations: number
}
