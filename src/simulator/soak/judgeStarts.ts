/**
 * A gateway that is started says that it is ready in time, unless another trouble comes to it or to a control node meanwhile, or the
 * run ends before.
 */
import type { SoakLog } from './SoakLog.js'
import { soakTimes } from './soakTimes.js'

/** A stop that is still under way when its successor is started may take its whole time. */
const readyMs = 15_000

export function judgeStarts({ starts, ready, spans, fromMs, toMs }: SoakLog): string[] {
  const gateways = new Set(ready.map((one) => one.gateway))
  return starts.flatMap(({ who, atMs }) => {
    const untilMs = atMs + readyMs
    if (!gateways.has(who) || atMs < fromMs || untilMs > toMs) return []
    if (ready.some((one) => one.gateway === who && one.atMs > atMs && one.atMs <= untilMs)) return []
    const isTroubled = spans.some((one) => one.who === who && one.fromMs > atMs && one.fromMs <= untilMs)
    if (isTroubled || soakTimes.calmMs(spans, atMs, untilMs) < readyMs / 2) return []
    return [`${who}: not ready ${String(readyMs / 1000)} s after its start`]
  })
}
