/**
 * Loads from the store of weights keep within its pace in every window. Those that begin while a control node is in
 * trouble, or hardly out of it, don't count.
 */
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import { soakTimes } from './soakTimes.js'

const windowMs = 5000
const overage = 1.1
const allowance = 3

export function judgeStore({ orders, spans }: SoakLog): string[] {
  const names = SoakScene.controls.map((one) => one.name)
  const times = orders
    .filter((one) => one.fromStore && names.every((name) => soakTimes.inTouch(spans, name, one.atMs)))
    .map((one) => one.atMs)
    .sort((one, other) => one - other)
  const most = SoakScene.loadsPerS * (windowMs / 1000) * overage + allowance
  const worst = times.reduce((found, fromMs, at) => {
    const count = times.findLastIndex((atMs) => atMs <= fromMs + windowMs) - at + 1
    return Math.max(found, count)
  }, 0)
  return worst > most ? [`${String(worst)} loads from the store began within ${String(windowMs)} ms, the most is ${String(most)}`] : []
}
