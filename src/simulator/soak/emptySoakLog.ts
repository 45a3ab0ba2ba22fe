/**
 * The log of a soak of which nothing was seen yet.
 */
import type { SoakLog } from './SoakLog.js'

export function emptySoakLog(): SoakLog {
  return {
    fromMs: 0,
    toMs: 0,
    tries: [],
    runs: [],
    orders: [],
    changes: [],
    readings: [],
    spans: [],
    stops: [],
    ready: [],
    ended: [],
    starts: [],
    memory: [],
    turns: [],
    staleAnswers: [],
  }
}
