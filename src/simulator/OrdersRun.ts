/**
 * How a model run of operators' orders ended.
 */
export interface OrdersRun {
  readonly defects: readonly string[]
  readonly attempts: number
  readonly acknowledged: number
  readonly refused: number
  readonly reads: number
}
