/**
 * Requests that got their first byte later than their route's aim, or none at all, by the cause that most of their
 * time went to, with the time lost beyond the aim.
 */
import type { DelayCause } from './DelayCause.js'

type Outcome = 'in_time' | 'late' | 'refused'
interface DelayCount {
  outcome: Outcome
  cause: DelayCause
  urgency: number
  requests: number
  beyondAimMs: number
}

export class DelayCounts {
  readonly #counts = new Map<string, DelayCount>()

  add(outcome: Outcome, cause: DelayCause, urgency: number, beyondAimMs: number): void {
    const count = this.#count(outcome, cause, urgency)
    count.requests += 1
    count.beyondAimMs += Math.max(0, beyondAimMs)
  }

  #count(outcome: Outcome, cause: DelayCause, urgency: number): DelayCount {
    const key = `${outcome} ${cause} ${String(urgency)}`
    let count = this.#counts.get(key)
    if (count === undefined) {
      count = { outcome, cause, urgency, requests: 0, beyondAimMs: 0 }
      this.#counts.set(key, count)
    }
    return count
  }

  /** Adds what another gateway counted. */
  merge({ outcome, cause, urgency, requests, beyondAimMs }: DelayCount): void {
    const count = this.#count(outcome, cause, urgency)
    count.requests += requests
    count.beyondAimMs += beyondAimMs
  }

  get all(): Iterable<DelayCount> {
    return this.#counts.values()
  }
}
