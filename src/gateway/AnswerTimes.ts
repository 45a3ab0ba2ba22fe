/**
 * How long the answers on each route take, from the sending of a request to the end of its answer, as a moving average.
 */

/** How much of the average the newest answer makes up. */
const newestRatio = 0.1

export class AnswerTimes {
  readonly #usualMs = new Map<string, number>()

  /** Counts an answer that has ended, with its duration in milliseconds. */
  add(route: string, tookMs: number): void {
    const usualMs = this.#usualMs.get(route) ?? tookMs
    this.#usualMs.set(route, usualMs + newestRatio * (tookMs - usualMs))
  }

  /** The average duration in milliseconds; undefined before the first answer. */
  usualMs(route: string): number | undefined {
    return this.#usualMs.get(route)
  }

  /** Forgets the routes that are no longer known. */
  keep(isKnown: (route: string) => boolean): void {
    for (const route of this.#usualMs.keys()) if (!isKnown(route)) this.#usualMs.delete(route)
  }
}
