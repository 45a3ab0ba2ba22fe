/**
 * The value below which a given share of the figures lies, rounded; 0 for none.
 */

export function quantile(figures: readonly number[], share: number): number {
  const sorted = [...figures].sort((a, b) => a - b)
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0)
}
