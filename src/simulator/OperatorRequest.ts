/**
 * A request of a model run's caller; how long it may wait is the node's affair.
 */
import type { Operation } from '../control/Operation.js'

export type OperatorRequest = Omit<Operation, 'waitMs' | 'leaderMs'>
