/**
 * Forecasts the next request of each model (or adapter) from the gaps between past ones, keeps the
 * mean gap between forecast and arrival (the window's half-width), and gives the history window and
 * the probability of a surprise. Means are exponentially weighted. A steady course is forecast one gap
 * after its last request; one whose misses are as wide as those of arrivals without memory (2/e of the
 * gap) one gap from now, whenever now is; what lies between is mixed. A model that stays away longer
 * than forecast is expected ever later.
 */

interface Course {
  lastMs: number
  gapMs: number
  missMs: number
  count: number
}
const freshWeight = 0.1
const memorylessMiss = 2 / Math.E
const lateRatio = 4
const windowRatio = 0.5

export class Predictor {
  readonly #courses = new Map<string, Course>()

  arrived(key: string, count: number, atMs: number): void {
    const course = this.#courses.get(key)
    if (course === undefined) {
      this.#courses.set(key, { lastMs: atMs, gapMs: 0, missMs: 0, count })
      return
    }
    const elapsedMs = Math.max(0, atMs - course.lastMs)
    const gapMs = elapsedMs / count
    if (course.gapMs === 0) {
      course.gapMs = Math.max(1, gapMs)
      course.missMs = course.gapMs * windowRatio
    } else {
      const weight = 1 - (1 - freshWeight) ** count
      course.missMs += weight * (Math.abs(gapMs - course.gapMs) - course.missMs)
      course.gapMs = Math.max(1, course.gapMs + weight * (gapMs - course.gapMs))
    }
    course.lastMs = Math.max(course.lastMs, atMs)
    course.count += count
  }

  /** Nothing for a model without a history of at least two requests. */
  forecast(key: string, nowMs: number): { nextMs: number; deltaMs: number } | undefined {
    const course = this.#courses.get(key)
    if (course === undefined || course.gapMs === 0) return undefined
    const deltaMs = windowRatio * course.missMs
    const steady = Math.max(0, 1 - course.missMs / (memorylessMiss * course.gapMs))
    const elapsedMs = nowMs - course.lastMs
    const late = elapsedMs > course.gapMs + deltaMs
    const steadyMs = late ? nowMs + elapsedMs : course.lastMs + course.gapMs
    const memorylessMs = nowMs + Math.max(course.gapMs, late ? elapsedMs / lateRatio : 0)
    return { nextMs: steady * steadyMs + (1 - steady) * memorylessMs, deltaMs }
  }

  /** Requests a millisecond, falling while a model stays away. */
  rate(key: string, nowMs: number): number {
    const course = this.#courses.get(key)
    return course === undefined || course.gapMs === 0 ? 0 : 1 / Math.max(course.gapMs, nowMs - course.lastMs)
  }

  lastMs(key: string): number {
    return this.#courses.get(key)?.lastMs ?? -Infinity
  }

  /** The mean inter-arrival time over all models that have a history. */
  get historyMs(): number {
    const gaps = [...this.#courses.values()].filter((course) => course.gapMs > 0).map((course) => 1 / course.gapMs)
    return gaps.length === 0 ? 0 : gaps.length / gaps.reduce((sum, rate) => sum + rate, 0)
  }

  /** The probability of at least one request within a span, had the arrivals no memory. */
  surprise(key: string, spanMs: number, nowMs: number): number {
    const course = this.#courses.get(key)
    if (course === undefined || course.gapMs === 0) return 0
    return 1 - Math.exp(-spanMs / Math.max(course.gapMs, nowMs - course.lastMs))
  }
}
