/**
 * Which requests a gateway that was asked to stop may still send to a server. While callers may still come in, it takes what the
 * usual answers of a route leave time for: such a request may be cut at the end of the stop. A later request may not be cut, so it
 * is taken only if its own deadline comes before the end.
 */
import type { StopTimes } from './StopTimes.js'

/** A request that has not run, as far as a stop is concerned. */
interface Candidate {
  arrivedMs: number
  /** When its caller, or its route, gives it up. */
  dueMs: number
  /** How long answers on its route usually take; undefined before the first. */
  usualMs: number | undefined
}

export const StopPolicy = {
  /** True if the request may be sent to a server now. */
  admits(times: StopTimes, { arrivedMs, dueMs, usualMs = 0 }: Candidate, nowMs: number): boolean {
    if (dueMs <= times.endMs) return true
    return arrivedMs <= times.leaveByMs && nowMs + usualMs <= times.endMs
  },
} as const
