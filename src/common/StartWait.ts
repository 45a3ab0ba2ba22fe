/**
 * The patience of a start: a step that fails because another process still holds what it needs is tried again, with a pause that
 * grows, until the time for the whole start is over or the process is asked to stop.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from './clockMs.js'
import { StopAskedError } from './StopAskedError.js'

/** Longer than a predecessor's stop may take. */
const startLimitMs = 30_000
const firstPauseMs = 50
const mostPauseMs = 400

/** A step of a start that may succeed later. */
interface StartStep<T> {
  /** What is waited for, for the log. */
  readonly resource: string
  readonly attempt: () => Promise<T>
  /** Whether a failure may pass without this process's doing. */
  readonly mayPass: (error: unknown) => boolean
}

export class StartWait {
  /** Gives up at the first failure. */
  static readonly none = new StartWait(() => undefined, new AbortController().signal, 0)
  readonly #say: (sentence: string) => void
  readonly #stopAsked: AbortSignal
  readonly #untilMs: number

  /** `say` writes a line to the log; nothing is waited for once `stopAsked` has been aborted. */
  constructor(say: (sentence: string) => void, stopAsked: AbortSignal, limitMs = startLimitMs) {
    this.#say = say
    this.#stopAsked = stopAsked
    this.#untilMs = clockMs() + limitMs
  }

  /** Gives what the step gives; throws its last error where that can't pass, or not in time, and a `StopAskedError` on a stop. */
  async until<T>({ resource, attempt, mayPass }: StartStep<T>): Promise<T> {
    let pauseMs = firstPauseMs
    for (let waits = 0; ; waits++) {
      try {
        return await attempt()
      } catch (error) {
        if (!mayPass(error) || clockMs() >= this.#untilMs) throw error
        if (this.#stopAsked.aborted) throw new StopAskedError(resource)
        if (waits === 0) this.#say(`The start waits for ${resource}: ${error instanceof Error ? error.message : String(error)}.`)
        await pause(pauseMs, undefined, { signal: this.#stopAsked }).catch(() => undefined)
        pauseMs = Math.min(2 * pauseMs, mostPauseMs)
      }
    }
  }
}
