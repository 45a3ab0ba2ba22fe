/**
 * Every invariant of a soak, by its name, with what broke it.
 */
import type { SoakLog } from './SoakLog.js'
import { judgeAnswers } from './judgeAnswers.js'
import { judgeConfigurations } from './judgeConfigurations.js'
import { judgeOrders } from './judgeOrders.js'
import { judgePromises } from './judgePromises.js'
import { judgeServed } from './judgeServed.js'
import { judgeStarved } from './judgeStarved.js'
import { judgeStore } from './judgeStore.js'

export function judgeSoak(log: SoakLog): Record<string, string[]> {
  return {
    starved: judgeStarved(log),
    answers: judgeAnswers(log),
    orders: judgeOrders(log),
    configurations: judgeConfigurations(log),
    store: judgeStore(log),
    promises: judgePromises(log),
    served: judgeServed(log),
  }
}
