/**
 * What the dispatcher knows of the placement at one moment, as numbers for the metrics. Read only when asked.
 */
export interface PlacementFigures {
  /** Wants of models or adapters that requests wait for. */
  wantsHeld: number
  /** Wants of a further copy because the copies there are bear no more. */
  wantsBusy: number
  /** Wants because requests are forecast. */
  wantsForecast: number
  /** Wants of a second copy in another zone. */
  wantsSpare: number
  /** Models of the configuration that no server holds and no order under way brings. */
  modelsHeldNowhere: number
  /** How long the want that has been unmet for longest has been so; 0 without any. */
  oldestUnmetWantMs: number
  /** Loads ordered since the duty was taken of a model that no server held then. */
  firstCopies: number
  /** Loads ordered since the duty was taken of a model that some server held already. */
  furtherCopies: number
  /** Servers that take orders and have none under way. */
  serversIdle: number
  /** Servers with a load under way. */
  serversLoading: number
  /** Checks of the placement's own invariants that have failed since the duty was taken. */
  invariantViolations: number
}
