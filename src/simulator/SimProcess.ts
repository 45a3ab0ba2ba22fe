/**
 * A simulated process: the very machine of a daemon, on a host with a clock of its own (another
 * origin, a slightly other rate), ticked, killed, frozen and woken. What arrives while it is frozen
 * waits for it.
 */
import type { Random } from '../common/Random.js'
import type { SimClock } from './SimClock.js'

export class SimProcess<Input, Effect, Machine extends { step: (input: Input, nowMs: number) => Effect[] }> {
  readonly name: string
  readonly host: string
  machine: Machine | undefined
  readonly #clock: SimClock
  readonly #random: Random
  readonly #perform: (effect: Effect, life: number) => void
  readonly #tickMs: number
  readonly #tick: () => Input
  #originMs: number
  #rate: number
  #frozen = false
  #inbox: Input[] = []
  life = 0
  /** When it last woke, by the world's time: nothing could leave it before. */
  wokeMs = 0

  constructor(
    name: string,
    host: string,
    clock: SimClock,
    random: Random,
    tickMs: number,
    tick: () => Input,
    perform: (effect: Effect, life: number) => void,
  ) {
    this.name = name
    this.host = host
    this.#clock = clock
    this.#random = random
    this.#tickMs = tickMs
    this.#tick = tick
    this.#perform = perform
    this.#originMs = random.between(0, 1e7)
    this.#rate = random.between(0.999, 1.001)
  }

  get alive(): boolean {
    return this.machine !== undefined
  }

  get frozen(): boolean {
    return this.#frozen
  }

  get nowMs(): number {
    return this.#originMs + this.#clock.nowMs * this.#rate
  }

  start(machine: Machine, first: Effect[] = []): void {
    this.life += 1
    this.machine = machine
    this.#frozen = false
    this.#inbox = []
    for (const effect of first) this.#perform(effect, this.life)
    this.#next(this.life, this.#random.between(0, this.#tickMs))
  }

  kill(): void {
    this.life += 1
    this.machine = undefined
    this.#frozen = false
    this.#inbox = []
    this.#originMs = this.#random.between(0, 1e7)
  }

  freeze(): void {
    this.#frozen = true
  }

  wake(): void {
    if (!this.#frozen) return
    this.#frozen = false
    this.wokeMs = this.#clock.nowMs
    const waiting = this.#inbox
    this.#inbox = []
    if (this.#random.hit(0.5)) this.deliver(this.#tick())
    for (const input of waiting) this.deliver(input)
  }

  deliver(input: Input): void {
    if (this.machine === undefined) return
    if (this.#frozen) {
      this.#inbox.push(input)
      return
    }
    const { life } = this
    for (const effect of this.machine.step(input, this.nowMs)) if (life === this.life) this.#perform(effect, life)
  }

  /** Delivers after a time, unless the process has ended its life by then. */
  deliverLater(waitMs: number, input: Input, life: number): void {
    this.#clock.after(waitMs, () => {
      if (this.life === life) this.deliver(input)
    })
  }

  #next(life: number, waitMs: number): void {
    this.#clock.after(waitMs, () => {
      if (life !== this.life) return
      if (!this.#frozen) this.deliver(this.#tick())
      this.#next(life, this.#tickMs)
    })
  }
}
