/**
 * What a dispatcher may tell of itself for the metrics; what it doesn't tell is left out of them.
 */
import type { OrderFigures } from './OrderFigures.js'
import type { PlacementFigures } from './PlacementFigures.js'

export interface PlacementSource {
  readonly epoch: number
  readonly figures?: PlacementFigures | undefined
  readonly orderFigures?: OrderFigures | undefined
}
