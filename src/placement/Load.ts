/**
 * How busy a model or an adapter is: its arrivals a second by a quick and a slow mean, and the requests that
 * run or wait at once, which rise at once and fall slowly, so that copies neither lag a crowd nor swing.
 */
const quickMs = 2000
const slowMs = 12_000
const fallMs = 5000

export class Load {
  #quickPerS = 0
  #slowPerS = 0
  #atOnce = 0
  #atMs: number
  #lastMs = -Infinity

  constructor(nowMs: number) {
    this.#atMs = nowMs
  }

  get lastMs(): number {
    return this.#lastMs
  }

  /** Requests a second, as they were just now. */
  get perS(): number {
    return this.#quickPerS
  }

  arrived(count: number, atMs: number): void {
    this.#quickPerS += (1000 * count) / quickMs
    this.#slowPerS += (1000 * count) / slowMs
    this.#lastMs = Math.max(this.#lastMs, atMs)
  }

  counted(atOnce: number, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#atMs)
    this.#atMs = nowMs
    this.#quickPerS *= Math.exp(-passedMs / quickMs)
    this.#slowPerS *= Math.exp(-passedMs / slowMs)
    this.#atOnce = Math.max(atOnce, atOnce + (this.#atOnce - atOnce) * Math.exp(-passedMs / fallMs))
  }

  /** Requests at once to be ready for: more than now while arrivals grow, twice as many at most. */
  get expected(): number {
    const grows = this.#slowPerS <= 0 ? 1 : this.#quickPerS / this.#slowPerS
    return this.#atOnce * (this.#quickPerS < 1 ? 1 : Math.min(1.3, Math.max(1, 0.5 + grows / 2)))
  }

  /** Requests a second, over a longer while. */
  get steadyPerS(): number {
    return this.#slowPerS
  }
}
