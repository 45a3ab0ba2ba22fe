/**
 * Of what is asked for while it is calm, no more than 60 in 100 go unserved.
 */
import type { SoakLog } from './SoakLog.js'
import { soakTimes } from './soakTimes.js'

const leastRatio = 0.4

export function judgeServed({ tries, spans }: SoakLog): string[] {
  const calm = new Map<number, boolean>()
  for (const one of tries) {
    if (!calm.has(one.ask) && !soakTimes.calm(spans, one.sentMs)) continue
    const well = one.status >= 200 && one.status < 300 && one.whole
    calm.set(one.ask, calm.get(one.ask) === true || well)
  }
  const served = [...calm.values()].filter((one) => one).length
  if (calm.size > 0 && served >= leastRatio * calm.size) return []
  return [`${String(served)} of ${String(calm.size)} asked for in calm were served`]
}
