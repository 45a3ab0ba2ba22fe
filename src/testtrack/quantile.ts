/**
 * The value below which a given share of the figures lies, rounded; 0 for none.
 */
import { deepStrictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'

export function quantile(figures: readonly number[], share: number): number {
  const sorted = [...figures].sort((a, b) => a - b)
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0)
}

proof(import.meta.url, {
  'quantiles of few figures': () => {
    deepStrictEqual([quantile([], 0.5), quantile([3], 0.99), quantile([5, 1, 3], 0.5)], [0, 3, 3])
  },
})
