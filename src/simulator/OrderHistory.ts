/**
 * What the operators of a model run sent and saw.
 */
import type { NetworkSeen } from './NetworkSeen.js'
import type { OrderAttempt } from './OrderAttempt.js'

export interface OrderHistory {
  readonly attempts: OrderAttempt[]
  readonly reads: NetworkSeen[]
  /** Networks that some node applied, as of when it did first. */
  readonly applied: NetworkSeen[]
  /** What was found wrong with zones as it happened. */
  readonly zoneDefects: string[]
}
