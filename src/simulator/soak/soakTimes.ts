/**
 * What was calm, and who was in touch, by the spans of trouble in a soak's log.
 */
import { SoakScene } from './SoakScene.js'
import type { SoakSpan } from './SoakSpan.js'

/** How long after a trouble it is not yet calm, how long after mere lateness, and how long a node is not yet in touch again. */
const settlesMs = 2000
const lateSettlesMs = 500
const contactMs = 3000
/** Whoever places models was in trouble, or models were lost; one gateway of several, lost answers and slow servers are no excuse. */
const placers: ReadonlySet<string> = new Set([...SoakScene.controls.map((one) => one.name), 'soak'])
const unquiet = (one: SoakSpan) => one.kind === 'crashServer' || placers.has(one.who)
const settledMs = (one: SoakSpan) => one.toMs + (one.kind === 'late' ? lateSettlesMs : settlesMs)

function merged(spans: readonly SoakSpan[]): { fromMs: number; toMs: number }[] {
  const all: { fromMs: number; toMs: number }[] = []
  for (const span of [...spans].sort((one, other) => one.fromMs - other.fromMs)) {
    const last = all.at(-1)
    const [fromMs, toMs] = [span.fromMs, settledMs(span)]
    if (last !== undefined && fromMs <= last.toMs) last.toMs = Math.max(last.toMs, toMs)
    else all.push({ fromMs, toMs })
  }
  return all
}

export const soakTimes = {
  contactMs,

  calm(spans: readonly SoakSpan[], atMs: number): boolean {
    return !spans.some((one) => unquiet(one) && atMs >= one.fromMs && atMs <= settledMs(one))
  },

  /** How much of a span was calm. */
  calmMs(spans: readonly SoakSpan[], fromMs: number, toMs: number): number {
    const troubled = merged(spans.filter(unquiet))
    const lost = troubled.reduce((sum, one) => {
      return sum + Math.max(0, Math.min(toMs, one.toMs) - Math.max(fromMs, one.fromMs))
    }, 0)
    return toMs - fromMs - lost
  },

  /** Whether a node, by its name, had been without trouble for long enough, and the soak itself too. */
  inTouch(spans: readonly SoakSpan[], who: string, atMs: number): boolean {
    return !spans.some((one) => (one.who === who || one.who === 'soak') && atMs >= one.fromMs && atMs <= one.toMs + contactMs)
  },
}
