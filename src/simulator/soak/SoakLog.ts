/**
 * All that was seen from outside in one run, for the judges and for whoever looks into a failure.
 */
import type { SoakChange } from './SoakChange.js'
import type { SoakMemoryPeak } from './SoakMemoryPeak.js'
import type { SoakOrderSeen } from './SoakOrderSeen.js'
import type { SoakReadiness } from './SoakReadiness.js'
import type { SoakReading } from './SoakReading.js'
import type { SoakRun } from './SoakRun.js'
import type { SoakSpan } from './SoakSpan.js'
import type { SoakStart } from './SoakStart.js'
import type { SoakStop } from './SoakStop.js'
import type { SoakTurn } from './SoakTurn.js'
import type { SoakTry } from './SoakTry.js'

export interface SoakLog {
  /** When traffic began and ended. */
  fromMs: number
  toMs: number
  tries: SoakTry[]
  runs: SoakRun[]
  orders: SoakOrderSeen[]
  changes: SoakChange[]
  readings: SoakReading[]
  spans: SoakSpan[]
  stops: SoakStop[]
  ready: SoakReadiness[]
  /** Processes that ended though nobody ended them. */
  ended: string[]
  /** The longest turns that processes told of. */
  turns: SoakTurn[]
  /** What changes on a revision that is no longer the current one were answered with. */
  staleAnswers: number[]
  /** Each process that was started, and when. */
  starts: SoakStart[]
  /** The greatest memory that each process was seen to take. */
  memory: SoakMemoryPeak[]
}
