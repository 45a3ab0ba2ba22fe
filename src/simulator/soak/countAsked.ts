/**
 * What was asked for often enough, for long enough and in calm enough time that it should have been served: models,
 * and their adapters, with the times at which they were asked for, and which of them ever were served.
 */
import type { SoakLog } from './SoakLog.js'
import { soakTimes } from './soakTimes.js'

const leastAsks = 4
const leastMs = 8000

export function countAsked({ tries, spans }: SoakLog): { key: string; asks: number; served: boolean }[] {
  const asked = new Map<string, number[]>()
  const served = new Set<string>()
  const known = new Set<string>()
  for (const one of tries) {
    if (one.model === '') continue
    const keys = one.adapter === '' ? [one.model] : [one.model, `${one.model}/${one.adapter}`]
    const well = one.status >= 200 && one.status < 300 && one.whole && one.seal !== ''
    for (const key of keys) {
      if (well) served.add(key)
      const ask = `${key} ${String(one.ask)}`
      if (known.has(ask) || !soakTimes.calm(spans, one.sentMs)) continue
      known.add(ask)
      const old = asked.get(key)
      if (old === undefined) asked.set(key, [one.sentMs])
      else old.push(one.sentMs)
    }
  }
  return [...asked]
    .filter(([, times]) => times.length >= leastAsks && soakTimes.calmMs(spans, Math.min(...times), Math.max(...times)) >= leastMs)
    .map(([key, times]) => ({ key, asks: times.length, served: served.has(key) }))
}
