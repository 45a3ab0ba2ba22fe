/**
 * Owns the lineman's machine and its telegraph.
 */
import 'reflect-metadata'
import { inject, singleton } from 'tsyringe'
import { Chance } from '../gauge/Chance.js'
import { clockMs } from '../gauge/clockMs.js'
import { Logbook } from '../gauge/Logbook.js'
import { Pace } from '../gauge/Pace.js'
import type { Startup } from '../gauge/Startup.js'
import type { Outside } from '../sidings/Outside.js'
import type { Telegraph } from '../telegraph/Telegraph.js'
import type { LinemanInput } from './LinemanInput.js'
import { LinemanMachine } from './LinemanMachine.js'

@singleton()
export class LinemanTask {
  readonly machine: LinemanMachine
  readonly #logbook: Logbook
  readonly #telegraph: Telegraph
  readonly #outside: Outside
  readonly #pace: Pace
  readonly #ticker: NodeJS.Timeout

  constructor(
    @inject('startup') startup: Startup['lineman'],
    @inject('logbook') logbook: Logbook,
    @inject('telegraph') telegraph: Telegraph,
    @inject('outside') outside: Outside,
  ) {
    this.#logbook = logbook
    this.#telegraph = telegraph
    const pace = Pace(startup.bounds)
    this.#pace = pace
    this.#outside = outside
    const chance = new Chance(crypto.getRandomValues(new Uint32Array(1))[0] ?? 0)
    this.machine = new LinemanMachine(
      {
        name: startup.name,
        zone: startup.zone,
        address: telegraph.address,
        seeds: startup.seeds,
        turnout: startup.turnout,
        system: startup.system,
      },
      pace,
      chance,
      clockMs(),
    )
    telegraph.hear((from, fromAddress, message) => {
      this.#step({ kind: 'message', from, fromAddress, message })
    })
    this.#ticker = setInterval(() => {
      this.#step({ kind: 'tick' })
    }, pace.tickMs)
  }

  get figures(): Record<string, number> {
    return this.machine.figures(clockMs())
  }

  get current(): boolean {
    return this.machine.current(clockMs())
  }

  #step(input: LinemanInput): void {
    for (const effect of this.machine.step(input, clockMs())) {
      if (effect.kind === 'send') this.#telegraph.send(effect.toAddress, effect.message)
      else if (effect.kind === 'say') this.#logbook.say(effect.part, effect.sentence)
      else if (effect.kind === 'askPlatform') void this.#readPlatform()
    }
  }

  async #readPlatform(): Promise<void> {
    const servers = await this.#outside.list(this.#pace.platformMs)
    if (servers !== undefined) this.#step({ kind: 'platform', servers })
  }

  async stop(): Promise<void> {
    clearInterval(this.#ticker)
    await this.#telegraph.close()
  }
}
