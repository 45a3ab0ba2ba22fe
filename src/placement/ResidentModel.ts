/**
 * A loaded model (or adapter) as the eviction sees it: when its next request is forecast, its window,
 * when it was last requested, the probability of a surprise, what its leaving frees, and whether another
 * open server holds it too.
 */
export interface ResidentModel {
  key: string
  nextMs: number
  windowFromMs: number
  windowToMs: number
  lastMs: number
  surprise: number
  size: number
  doubled: boolean
}
