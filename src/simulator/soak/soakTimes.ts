/**
 * What was calm, and who was in touch, by the spans of trouble in a soak's log.
 */
import type { SoakSpan } from './SoakSpan.js'

/** How long after a trouble it is not yet calm, and how long a node is not yet in touch again. */
const settlesMs = 2000
const contactMs = 3000
/** Lost answers and slow servers are no excuse for leaving a model unserved. */
const unquiet: ReadonlySet<string> = new Set(['kill', 'freeze', 'cut', 'cutOut', 'crashServer', 'late'])

function merged(spans: readonly SoakSpan[]): { fromMs: number; toMs: number }[] {
  const all: { fromMs: number; toMs: number }[] = []
  for (const { fromMs, toMs } of [...spans].sort((one, other) => one.fromMs - other.fromMs)) {
    const last = all.at(-1)
    if (last !== undefined && fromMs <= last.toMs + settlesMs) last.toMs = Math.max(last.toMs, toMs)
    else all.push({ fromMs, toMs })
  }
  return all
}

export const soakTimes = {
  contactMs,

  calm(spans: readonly SoakSpan[], atMs: number): boolean {
    return !spans.some((one) => unquiet.has(one.kind) && atMs >= one.fromMs && atMs <= one.toMs + settlesMs)
  },

  /** How much of a span was calm. */
  calmMs(spans: readonly SoakSpan[], fromMs: number, toMs: number): number {
    const troubled = merged(spans.filter((one) => unquiet.has(one.kind)))
    const lost = troubled.reduce((sum, one) => {
      return sum + Math.max(0, Math.min(toMs, one.toMs + settlesMs) - Math.max(fromMs, one.fromMs))
    }, 0)
    return toMs - fromMs - lost
  },

  /** Whether a node, by its name, had been without trouble for long enough, and the soak itself too. */
  inTouch(spans: readonly SoakSpan[], who: string, atMs: number): boolean {
    return !spans.some((one) => (one.who === who || one.who === 'soak') && atMs >= one.fromMs && atMs <= one.toMs + contactMs)
  },
}
