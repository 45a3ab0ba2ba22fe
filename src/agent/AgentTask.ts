/**
 * Owns the agent's machine and its transport.
 */
import 'reflect-metadata'
import { inject, singleton } from 'tsyringe'
import { Random } from '../common/Random.js'
import { clockMs } from '../common/clockMs.js'
import { Logger } from '../common/Logger.js'
import { Timings } from '../common/Timings.js'
import type { Startup } from '../common/Startup.js'
import type { PlatformClient } from '../adapters/PlatformClient.js'
import type { Transport } from '../transport/Transport.js'
import type { AgentInput } from './AgentInput.js'
import { AgentMachine } from './AgentMachine.js'

@singleton()
export class AgentTask {
  readonly machine: AgentMachine
  readonly #logger: Logger
  readonly #transport: Transport
  readonly #outside: PlatformClient
  readonly #timings: Timings
  readonly #ticker: NodeJS.Timeout

  constructor(
    @inject('startup') startup: Startup['agent'],
    @inject('logger') logger: Logger,
    @inject('transport') transport: Transport,
    @inject('outside') outside: PlatformClient,
  ) {
    this.#logger = logger
    this.#transport = transport
    const timings = Timings(startup.bounds)
    this.#timings = timings
    this.#outside = outside
    const random = new Random(crypto.getRandomValues(new Uint32Array(1))[0] ?? 0)
    this.machine = new AgentMachine(
      {
        name: startup.name,
        zone: startup.zone,
        address: transport.address,
        seeds: startup.seeds,
        proxy: startup.proxy,
        system: startup.system,
      },
      timings,
      random,
      clockMs(),
    )
    transport.hear((from, fromAddress, message) => {
      this.#step({ kind: 'message', from, fromAddress, message })
    })
    this.#ticker = setInterval(() => {
      this.#step({ kind: 'tick' })
    }, timings.tickMs)
  }

  get figures(): Record<string, number> {
    return { ...this.machine.figures(clockMs()), ...this.#transport.figures }
  }

  get current(): boolean {
    return this.machine.current(clockMs())
  }

  #step(input: AgentInput): void {
    const effects = this.machine.step(input, clockMs())
    this.#transport.cluster = this.machine.system
    for (const effect of effects) {
      if (effect.kind === 'send') this.#transport.send(effect.toAddress, effect.message)
      else if (effect.kind === 'say') this.#logger.say(effect.part, effect.sentence)
      else if (effect.kind === 'askPlatform') void this.#readPlatform()
    }
  }

  async #readPlatform(): Promise<void> {
    const servers = await this.#outside.list(this.#timings.platformMs)
    if (servers !== undefined) this.#step({ kind: 'platform', servers })
  }

  async stop(): Promise<void> {
    clearInterval(this.#ticker)
    await this.#transport.close()
  }
}
