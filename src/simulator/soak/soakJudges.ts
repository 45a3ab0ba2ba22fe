/**
 * Every invariant of a soak, by its name, and what finds the faults against it in a log.
 */
import type { SoakLog } from './SoakLog.js'
import { judgeAnswers } from './judgeAnswers.js'
import { judgeConfigurations } from './judgeConfigurations.js'
import { judgeEnded } from './judgeEnded.js'
import { judgeLost } from './judgeLost.js'
import { judgeMemory } from './judgeMemory.js'
import { judgeOrders } from './judgeOrders.js'
import { judgePromises } from './judgePromises.js'
import { judgeServed } from './judgeServed.js'
import { judgeStale } from './judgeStale.js'
import { judgeStarts } from './judgeStarts.js'
import { judgeStops } from './judgeStops.js'
import { judgeStarved } from './judgeStarved.js'
import { judgeStore } from './judgeStore.js'

type Judge = (log: SoakLog) => string[]

export const soakJudges: Readonly<Record<string, Judge>> = {
  starved: judgeStarved,
  answers: judgeAnswers,
  orders: judgeOrders,
  configurations: judgeConfigurations,
  store: judgeStore,
  promises: judgePromises,
  served: judgeServed,
  lost: judgeLost,
  stops: judgeStops,
  ended: judgeEnded,
  memory: judgeMemory,
  starts: judgeStarts,
  stale: judgeStale,
}
