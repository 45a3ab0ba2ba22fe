/**
 * The figures of a memory budget: what each of its parts holds, held at the most, and how often it got nothing.
 */
import type { MemoryBudget } from './MemoryBudget.js'
import type { Meters } from './Meters.js'

const labels = ['part']

export function memoryMetrics(meters: Meters, budget: MemoryBudget): void {
  const samples = (figure: 'bytes' | 'peakBytes' | 'refusals') =>
    [...budget.uses].map(([part, use]) => ({ labels: { part }, value: use[figure] }))
  meters.readGauge('held_bytes', 'bytes held for others, by part of the memory budget', labels, () => samples('bytes'))
  meters.readGauge('held_bytes_peak', 'the most bytes held for others at a time', labels, () => samples('peakBytes'))
  meters.readCounter('held_refusals', 'times that the memory budget had no room', labels, () => samples('refusals'))
}
