/**
 * Shrinks a schedule that breaks an invariant: events are dropped, many at a time and then one by one, for
 * as long as what is left still breaks the same invariant.
 */
import { ClusterParts } from './ClusterParts.js'
import type { Schedule } from './Schedule.js'
import { runSchedule } from './runSchedule.js'

export function shrinkSchedule(schedule: Schedule, invariant: string, parts = ClusterParts): Schedule {
  let smallest = schedule
  const stillFails = (candidate: Schedule) => runSchedule(candidate, parts)?.invariant === invariant
  const quiet = { ...schedule, network: { dropRatio: 0, duplicateRatio: 0, lateRatio: 0, lateMs: 0 }, clockDrift: 0 }
  if (stillFails(quiet)) smallest = quiet
  for (let size = Math.ceil(smallest.events.length / 2); size >= 1; size = size === 1 ? 0 : Math.ceil(size / 2)) {
    for (let at = 0; at < smallest.events.length;) {
      const events = smallest.events.filter((_, index) => index < at || index >= at + size)
      const candidate = { ...smallest, events }
      if (stillFails(candidate)) smallest = candidate
      else at += size
    }
  }
  return smallest
}
