/**
 * STARVED: whatever was asked for at least four times over eight seconds of calm time is served at least once in
 * the run, but for one and a tenth of these. Models count, and their adapters too. A run that cannot tell finds nothing.
 */
import type { SoakLog } from './SoakLog.js'
import { canJudgeStarved } from './canJudgeStarved.js'
import { countAsked } from './countAsked.js'

const allowed = 1
const allowedRatio = 0.1

export function judgeStarved(log: SoakLog): string[] {
  if (!canJudgeStarved(log)) return []
  const counted = countAsked(log)
  const starved = counted.filter((one) => !one.served)
  if (starved.length <= allowed + allowedRatio * counted.length) return []
  const names = starved.map((one) => `${one.key} (asked ${String(one.asks)} times)`).join(', ')
  return [`${String(starved.length)} of ${String(counted.length)} that were asked for were never served: ${names}`]
}
