/**
 * How long one request has spent on each cause of delay. It is in one of them at any moment, from its arrival on.
 */
import type { DelayCause } from './DelayCause.js'

export class DelayAccount {
  readonly #spentMs = new Map<DelayCause, number>()
  #cause: DelayCause
  #sinceMs: number

  constructor(cause: DelayCause, nowMs: number) {
    this.#cause = cause
    this.#sinceMs = nowMs
  }

  /** From now on the request spends its time on this. */
  enter(cause: DelayCause, nowMs: number): void {
    this.#spentMs.set(this.#cause, this.spentMs(this.#cause, nowMs))
    this.#cause = cause
    this.#sinceMs = nowMs
  }

  /** What was thought to be time of an answer was lost on a try that failed. */
  failed(nowMs: number): void {
    this.#cause = 'failed_try'
    this.enter('no_place', nowMs)
  }

  spentMs(cause: DelayCause, nowMs: number): number {
    return (this.#spentMs.get(cause) ?? 0) + (cause === this.#cause ? nowMs - this.#sinceMs : 0)
  }

  /** The cause that most of the time went to. */
  longest(nowMs: number): DelayCause {
    let longest = this.#cause
    for (const cause of this.#spentMs.keys()) if (this.spentMs(cause, nowMs) > this.spentMs(longest, nowMs)) longest = cause
    return longest
  }
}
