/**
 * A change on a revision that is no longer the current one is never acknowledged, and is told so or to come back.
 */
import type { SoakLog } from './SoakLog.js'

const expected: ReadonlySet<number> = new Set([412, 503])

export function judgeStale({ staleAnswers }: SoakLog): string[] {
  return staleAnswers.filter((status) => !expected.has(status)).map((status) => `a stale change was answered with ${String(status)}`)
}
