/**
 * What broke each invariant of a soak, by its name.
 */
import type { SoakLog } from './SoakLog.js'
import { soakJudges } from './soakJudges.js'

export function judgeSoak(log: SoakLog): Record<string, string[]> {
  return Object.fromEntries(Object.entries(soakJudges).map(([name, judge]) => [name, judge(log)]))
}
