/**
 * The figures of a soak in a line: what was asked for and served, of rare models and in all, and what it moved.
 */
import { quantile } from '../quantile.js'
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import { countAsked } from './countAsked.js'

const percent = (part: number, whole: number) => `${String(Math.round((100 * part) / Math.max(1, whole)))} %`

export function tellSoak(log: SoakLog): string {
  const { tries, orders, changes, spans, fromMs, toMs } = log
  const counted = countAsked(log)
  const middleMs = (fromMs + toMs) / 2
  const popular = (model: string, atMs: number) => {
    const one = SoakScene.asked.find((asked) => asked.model === model)
    return (atMs < middleMs ? one?.popularFirst : one?.popularLater) === true
  }
  const asks = new Map<number, { rare: boolean; model: boolean; well: boolean; tookMs: number }>()
  for (const one of tries) {
    const well = one.status >= 200 && one.status < 300 && one.whole
    const known = asks.get(one.ask) ?? {
      rare: one.model !== '' && !popular(one.model, one.sentMs),
      model: one.model !== '',
      well: false,
      tookMs: -one.sentMs,
    }
    asks.set(one.ask, { ...known, well: known.well || well, tookMs: well ? known.tookMs + one.endMs : known.tookMs })
  }
  const all = [...asks.values()]
  const share = (some: typeof all) => percent(some.filter((one) => one.well).length, some.length)
  const rare = all.filter((one) => one.rare)
  const loads = orders.filter((one) => one.kind === 'load' && one.status === 202)
  const waits = rare.filter((one) => one.well).map((one) => one.tookMs)
  return [
    `${String(all.length)} asked, ${share(all)} served`,
    `${String(counted.filter((one) => !one.served).length)} of ${String(counted.length)} starved`,
    `rare ${share(rare)} in p50 ${String(Math.round(quantile(waits, 0.5)))} ms`,
    `popular ${share(all.filter((one) => one.model && !one.rare))}`,
    `plain ${share(all.filter((one) => !one.model))}`,
    `${String(loads.length)} loads, ${String(loads.filter((one) => one.fromStore).length)} from the store`,
    `${String(changes.filter((one) => one.acknowledgedMs !== undefined).length)}/${String(changes.length)} changes acknowledged`,
    `troubles: ${spans
      .filter((one) => one.kind !== 'late')
      .map((one) => `${one.kind}${one.who === '' ? '' : ` ${one.who}`}`)
      .join(', ')}`,
    `memory at most ${Math.max(0, ...log.memory.map((one) => one.peakMb)).toFixed(0)} MB`,
    `late: ${String(spans.filter((one) => one.kind === 'late').length)} times`,
  ].join('; ')
}
