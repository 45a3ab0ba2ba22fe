/**
 * A clock for tests in real time that leaves out the time in which the machine gave this process no turn, which is no fault of what is
 * tested. While turns come in time, and for all that the process itself works, it goes like any other clock.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../clockMs.js'

const everyMs = 10
/** A turn that was waited for longer than this counts for so much, or for what the process worked meanwhile. */
const mostMs = 12
const pollMs = 2

interface Turn {
  atMs: number
  workedMs: number
  /** What was counted until then. */
  countedMs: number
}

export class TurnClock {
  /** The clock of this process; like the next, it does not keep it alive. */
  static readonly own = TurnClock.#start(() => {
    const { user, system } = process.cpuUsage()
    return (user + system) / 1000
  })
  /** Leaves out also what this process itself worked for long at once: for what waits its turn behind a test's own many plays. */
  static readonly turnsAlone = TurnClock.#start(() => 0)
  readonly #clock: () => number
  readonly #worked: () => number
  readonly #turns: Turn[]

  /** Takes a clock, and what gives for how long the process has worked by now. */
  constructor(clock: () => number, worked: () => number) {
    this.#clock = clock
    this.#worked = worked
    this.#turns = [{ atMs: clock(), workedMs: worked(), countedMs: 0 }]
  }

  static #start(worked: () => number): TurnClock {
    const started = new TurnClock(clockMs, worked)
    setInterval(() => {
      started.turn()
    }, everyMs).unref()
    return started
  }

  turn(): void {
    const atMs = this.#clock()
    this.#turns.push({ atMs, workedMs: this.#worked(), countedMs: this.#countedMs(atMs) })
  }

  /** What was counted between two times of the usual clock; nothing if they are the other way round. */
  betweenMs(fromMs: number, toMs: number): number {
    return Math.max(0, this.#countedMs(toMs) - this.#countedMs(fromMs))
  }

  /** Waits until this clock has gone on by so much. */
  async pass(ms: number): Promise<void> {
    const fromMs = this.#clock()
    while (this.betweenMs(fromMs, this.#clock()) < ms) await pause(pollMs)
  }

  /** Waits until something is so; that it is not so within this clock's time is a failure. */
  async until(ready: () => boolean, withinMs: number): Promise<void> {
    const fromMs = this.#clock()
    while (!ready()) {
      if (this.betweenMs(fromMs, this.#clock()) > withinMs) throw new Error(`not within ${String(withinMs)} ms`)
      await pause(pollMs)
    }
  }

  #countedMs(atMs: number): number {
    let low = 0
    let high = this.#turns.length
    while (high - low > 1) {
      const middle = (low + high) >> 1
      if ((this.#turns[middle]?.atMs ?? Infinity) <= atMs) low = middle
      else high = middle
    }
    const before = this.#turns[low]
    const after = this.#turns[high]
    if (before === undefined || atMs <= before.atMs) return before?.countedMs ?? 0
    if (after === undefined) return before.countedMs + Math.min(Math.max(mostMs, this.#worked() - before.workedMs), atMs - before.atMs)
    return before.countedMs + ((after.countedMs - before.countedMs) * (atMs - before.atMs)) / (after.atMs - before.atMs)
  }
}
