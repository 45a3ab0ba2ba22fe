/**
 * Owns the control node's machine, its file and its transport: feeds the machine what happened, carries
 * out what it returns, in order, and ends the process when the disk fails.
 */
import 'reflect-metadata'
import { setTimeout } from 'node:timers/promises'
import { inject, singleton } from 'tsyringe'
import { Emitter } from '../common/Emitter.js'
import { Random } from '../common/Random.js'
import { clockMs } from '../common/clockMs.js'
import { exitCodes } from '../common/exitCodes.js'
import { Logger } from '../common/Logger.js'
import { GarbagePacer } from '../common/admission/GarbagePacer.js'
import { freeMemoryBytes } from '../common/freeMemoryBytes.js'
import { MemoryBudget } from '../common/MemoryBudget.js'
import { MemoryWatch } from '../common/MemoryWatch.js'
import { memoryMetrics } from '../common/memoryMetrics.js'
import { Meters } from '../common/Meters.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { Timings } from '../common/Timings.js'
import type { Startup } from '../common/Startup.js'
import type { PlatformClient } from '../adapters/PlatformClient.js'
import type { Transport } from '../transport/Transport.js'
import { transportHelps } from '../transport/transportHelps.js'
import type { WriteAheadLog } from '../storage/WriteAheadLog.js'
import { edgeMulti } from '../placement/edgeMulti.js'
import type { PlacementSource } from '../placement/PlacementSource.js'
import type { ControlEffect } from './ControlEffect.js'
import type { ControlInput } from './ControlInput.js'
import { ControlMachine } from './ControlMachine.js'
import { placementMetrics } from './placementMetrics.js'

/** The part of the memory that the runtime leaves for bodies of operators' requests and answers; judging one takes a multiple of it. */
const heldRatio = 0.125

interface ControlEvents {
  responded: { id: string; status: number; stamp: number; text: string }
}

@singleton()
export class ControlTask {
  readonly emitter = new Emitter<ControlEvents>()
  readonly machine: ControlMachine
  readonly timings: Timings
  /** What is held of operators' requests and of answers to them. */
  readonly memory: MemoryBudget
  readonly garbage: GarbagePacer
  readonly #startup: Startup['control']
  readonly #logger: Logger
  readonly #transport: Transport
  readonly #writeAheadLog: WriteAheadLog
  readonly #outside: PlatformClient
  readonly #ordered: (values: Record<string, string>) => void
  readonly #synced: (spanMs: number) => void
  readonly #memoryWatch: MemoryWatch
  readonly #ticker: NodeJS.Timeout
  #isStopped = false

  constructor(
    @inject('startup') startup: Startup['control'],
    @inject('logger') logger: Logger,
    @inject('transport') transport: Transport,
    @inject('writeAheadLog') writeAheadLog: WriteAheadLog,
    @inject('outside') outside: PlatformClient,
    @inject(Meters) meters: Meters,
  ) {
    this.#startup = startup
    this.#logger = logger
    this.#transport = transport
    this.#writeAheadLog = writeAheadLog
    this.#outside = outside
    this.timings = Timings(startup.bounds)
    this.memory = new MemoryBudget(heldRatio * freeMemoryBytes(startup.memoryMb))
    this.garbage = new GarbagePacer(startup.memoryMb)
    this.#memoryWatch = new MemoryWatch(startup.memoryMb, this.memory, (sentence) => {
      logger.warn('memory', `${sentence}.`)
    })
    if (startup.without.length > 0) logger.warn('control', `Switched off: ${startup.without.join(', ')}.`)
    this.#ordered = meters.counter('orders', 'orders sent to servers, by kind', ['kind'])
    this.#synced = meters.span('sync', 'how long a write took to be synced')
    meters.gauges(
      {
        term: 'the term of the raft',
        commit: 'the last index committed',
        leads: '1 while this machine leads the core',
        dispatches: '1 while this machine holds the dispatcher duty',
        seats_alive: 'seats whose lease is alive, as the leader sees them',
        operations_open: 'operations of operators under way',
        log_bytes: 'size of the log since it was last rewritten',
        log_index: 'the last index of the log',
        members: 'members of the core',
        voters: 'members of the core that vote',
        servers_known: "servers that the core's table lists",
        unmet_wants: 'models and adapters that requests wait for, held nowhere and not on their way, as the dispatcher sees it',
      },
      () => this.machine.figures(clockMs()),
    )
    meters.gauges(transportHelps, () => transport.figures)
    memoryMetrics(meters, this.memory)
    const source = (): PlacementSource | undefined => this.machine.dispatcher
    placementMetrics(
      meters,
      () => source()?.figures,
      () => source()?.orderFigures,
    )
    this.machine = new ControlMachine(
      {
        name: startup.name,
        zone: startup.zone,
        address: transport.address,
        seeds: startup.seeds,
        seats: startup.seats,
        bootstrap: startup.bootstrap,
        rewriteBytes: startup.rewriteBytes,
        fenced: startup.fenced,
        policy: { ...edgeMulti, mechanisms: Mechanisms.without(startup.without) },
        system: startup.system,
        targetVoters: 2 * startup.tolerated + 1,
      },
      this.timings,
      new Random(crypto.getRandomValues(new Uint32Array(1))[0] ?? 0),
      writeAheadLog.records,
      clockMs(),
    )
    this.#carryOut(this.machine.begin())
    transport.hear((from, fromAddress, message) => {
      this.step({ kind: 'message', from, fromAddress, message })
    })
    this.#ticker = setInterval(() => {
      this.step({ kind: 'tick', hour: new Date().getUTCHours() + new Date().getUTCMinutes() / 60 })
    }, this.timings.tickMs)
  }

  /** Has no effect once the node stopped: what still ends then, as a write or a call, must begin nothing new. */
  step(input: ControlInput): void {
    if (this.#isStopped) return
    this.#carryOut(this.machine.step(input, clockMs()))
    this.#transport.cluster = this.machine.raft.system
  }

  /** Hands over what this node does for the core, within a bounded time. */
  async leave(): Promise<void> {
    this.machine.leave(clockMs())
    while (!this.machine.mayStop) await setTimeout(this.timings.tickMs)
  }

  async stop(): Promise<void> {
    this.#isStopped = true
    clearInterval(this.#ticker)
    this.#memoryWatch.close()
    await this.#transport.close()
    await this.#writeAheadLog.close()
  }

  #carryOut(effects: ControlEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send':
          this.#transport.send(effect.toAddress, effect.message)
          break
        case 'write':
          this.#write(effect)
          break
        case 'respond':
          this.emitter.ring('responded', effect)
          break
        case 'askPlatform': {
          const { askedMs } = effect
          void this.#outside.list(this.timings.platformMs).then((servers) => {
            if (servers !== undefined) this.step({ kind: 'platform', servers, askedMs })
          })
          break
        }
        case 'ask': {
          const { server, address, epoch, askedMs } = effect
          void this.#outside.holds(server, address, epoch, this.timings.reportStaleMs / 2).then((report) => {
            this.step({ kind: 'reported', server, report, askedMs })
          })
          break
        }
        case 'order': {
          const { server, address, order } = effect
          this.#ordered({ kind: order.kind })
          void this.#outside.order(server, address, order, this.#startup.name, this.timings.reportStaleMs).then((reply) => {
            this.step({ kind: 'replied', server, epoch: order.epoch, number: order.number, reply })
          })
          break
        }
        case 'warn':
          this.#logger.warn(effect.part, effect.sentence)
          break
        case 'say':
          this.#logger.say(effect.part, effect.sentence)
          break
      }
    }
  }

  #write(effect: Extract<ControlEffect, { kind: 'write' }>): void {
    const fromMs = clockMs()
    const synced = effect.rewrite ? this.#writeAheadLog.rewrite(effect.records) : this.#writeAheadLog.append(effect.records)
    synced.then(
      () => {
        this.#synced(clockMs() - fromMs)
        for (const send of effect.then) this.#transport.send(send.toAddress, send.message)
        this.step({ kind: 'written' })
      },
      (error: unknown) => {
        this.#logger.fatal('storage', `The disk failed: ${error instanceof Error ? error.message : String(error)}.`)
        process.exit(exitCodes.storageFailed)
      },
    )
  }
}
