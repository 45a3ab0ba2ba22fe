/**
 * One run of the explorer, written down: the size of the cluster, what its network is like, and every
 * fault and request with the time at which it begins. Running a schedule twice gives the same run, and
 * dropping events from it gives a smaller schedule, which is how a finding is shrunk.
 */
import type { ScheduleEvent } from './ScheduleEvent.js'

export interface Schedule {
  seed: number
  seats: number
  /** The first so many seats found the cluster as its voters. */
  founders: number
  /** Faults end and all nodes run again after this time. */
  calmAtMs: number
  network: { dropRatio: number; duplicateRatio: number; lateRatio: number; lateMs: number }
  clockDrift: number
  /** How widely elections are spread, against the usual; a narrow spread lets candidates meet. */
  spreadRatio: number
  /** The first write carries so much more, so that snapshots go out in several chunks. */
  bulkBytes: number
  /** A node takes a snapshot once its log has grown by so many entries; 0 for only when told. */
  compactEvery: number
  events: ScheduleEvent[]
}
