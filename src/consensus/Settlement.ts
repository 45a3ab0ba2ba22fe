/**
 * What applying a write of the network or a zone says to the one request that asked for it.
 */
import type { Outcome } from './Outcome.js'

export interface Settlement {
  readonly request: string
  readonly outcome: Outcome
}
