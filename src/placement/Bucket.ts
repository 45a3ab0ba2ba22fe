/**
 * The weight store's pace. An order's draw may come at any time between its sending and its settling,
 * so what is unsettled counts in full, and what is settled leaks away at the pace from its settling on:
 * then no window of time can hold more than the burst and the pace, however late an order arrives. It
 * starts full, so that a new dispatcher cannot spend again what its predecessor has just spent.
 */

export class Bucket {
  #level = Infinity
  #reserved = 0
  /** The least that the store can have given lately: each draw at its earliest, the sending of its order. */
  #least = 0
  #atMs: number

  constructor(nowMs: number) {
    this.#atMs = nowMs
  }

  /** Takes an order's draw, if it can be borne. */
  reserve(mb: number, perS: number, burst: number, nowMs: number): boolean {
    this.#leak(perS, burst, nowMs)
    if (this.#level + this.#reserved + mb > burst) return false
    this.#reserved += mb
    return true
  }

  /** How long until an order's draw can be borne, if those under way are settled no sooner. */
  bearsInMs(mb: number, perS: number, burst: number, nowMs: number): number {
    this.#leak(perS, burst, nowMs)
    return Math.max(0, ((this.#level + this.#reserved + mb - burst) * 1000) / perS)
  }

  /** An order that an earlier dispatcher sent and that has not ended. */
  inherit(mb: number): void {
    this.#reserved += mb
  }

  settle(mb: number, mayHaveDrawn: boolean, perS: number, burst: number, sentMs: number, nowMs: number): void {
    this.#leak(perS, burst, nowMs)
    this.#reserved -= mb
    if (!mayHaveDrawn) return
    this.#level += mb
    this.#least += Math.max(0, mb - ((nowMs - sentMs) * perS) / 1000)
  }

  /** How long the store certainly cannot give so much, whatever becomes of the orders under way. */
  earliestMs(mb: number, perS: number, burst: number, nowMs: number): number {
    this.#leak(perS, burst, nowMs)
    return Math.max(0, ((this.#least + mb - burst) * 1000) / perS)
  }

  #leak(perS: number, burst: number, nowMs: number): void {
    this.#level = Math.max(0, Math.min(this.#level, burst) - ((nowMs - this.#atMs) * perS) / 1000)
    this.#least = Math.max(0, Math.min(this.#least, burst) - ((nowMs - this.#atMs) * perS) / 1000)
    this.#atMs = nowMs
  }
}
