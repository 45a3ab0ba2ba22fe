/**
 * Whether a run can tell what starves: enough was asked for in calm, and whoever places models had its turns of the
 * processor. On a machine that is too slow for that, models starve for want of a processor.
 */
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import { countAsked } from './countAsked.js'

const leastCounted = 10
/** How much of the run the soak and the control nodes, each by itself, may have stood still through no trouble of ours. */
const mostLateRatio = 0.1

export function canJudgeStarved(log: SoakLog): boolean {
  const { spans, fromMs, toMs } = log
  const frozen = (who: string, atMs: number) =>
    spans.some((one) => one.who === who && one.kind === 'freeze' && atMs >= one.fromMs && atMs <= one.toMs)
  const lateMs = (who: string) => {
    const late = spans.filter((one) => one.who === who && one.kind === 'late' && !frozen(who, (one.fromMs + one.toMs) / 2))
    return late.reduce((sum, one) => sum + Math.max(0, Math.min(one.toMs, toMs) - Math.max(one.fromMs, fromMs)), 0)
  }
  const inTurn = ['soak', ...SoakScene.controls.map((one) => one.name)].every((who) => lateMs(who) <= mostLateRatio * (toMs - fromMs))
  return inTurn && countAsked(log).length >= leastCounted
}
