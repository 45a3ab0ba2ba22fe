/**
 * A process that is asked to stop ends by itself, within its grace time and with 0, and a gateway soon no longer says that it is
 * ready. A process that a trouble held up within its stop is not judged.
 */
import type { SoakLog } from './SoakLog.js'
import type { SoakStop } from './SoakStop.js'

const readyMs = 4000

export function judgeStops({ stops, ready, spans }: SoakLog): string[] {
  const isHeldUp = ({ who, termMs, endMs }: SoakStop) =>
    spans.some(
      (one) =>
        one.kind !== 'stop' &&
        one.kind !== 'reload' &&
        (one.who === who || one.who === 'soak') &&
        one.fromMs <= endMs &&
        one.toMs >= termMs,
    )
  return stops
    .filter((one) => !isHeldUp(one))
    .flatMap(({ who, termMs, endMs, killed, code }) => {
      const faults: string[] = []
      if (killed) faults.push(`${who}: still ran ${(endMs - termMs).toFixed(0)} ms after SIGTERM`)
      else if (code !== 0) faults.push(`${who}: its stop ended with ${String(code)}`)
      const late = ready.find((one) => one.gateway === who && one.atMs > termMs + readyMs && one.atMs < endMs)
      if (late !== undefined) faults.push(`${who}: says that it is ready ${(late.atMs - termMs).toFixed(0)} ms after SIGTERM`)
      return faults
    })
}
