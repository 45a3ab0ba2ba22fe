/**
 * Whether a request may be sent again, by its route in force and by what happened to it so far. All such
 * decisions are taken here, so that none of the places that send can forget one of the conditions.
 */
import type { Passage } from './Passage.js'

export const RetryPolicy = {
  /** True of a request that may run more than once. */
  repeatable(passage: Passage): boolean {
    const { route } = passage
    return route !== undefined && (route.kind === 'repeatable' || (route.kind === 'stream' && route.resumable))
  },

  /** The greatest number of servers that the request may be sent to. */
  attempts(passage: Passage): number {
    return Math.max(1, passage.route?.attempts ?? 1)
  },

  exhausted(passage: Passage): boolean {
    return passage.sends >= RetryPolicy.attempts(passage)
  },

  /**
   * True if what the caller has of the answer, if anything, can be continued by another server: only a stream
   * whose last event told its place can.
   */
  continuable(passage: Passage): boolean {
    if (!passage.begun) return true
    return passage.route?.kind === 'stream' && passage.route.resumable && passage.resumePoint
  },

  /** True if the request may be sent to one more server. */
  maySend(passage: Passage): boolean {
    if (RetryPolicy.exhausted(passage) || !RetryPolicy.continuable(passage)) return false
    return !passage.mayHaveRun || RetryPolicy.repeatable(passage)
  },
} as const
