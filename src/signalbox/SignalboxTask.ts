/**
 * Owns the signalbox's machine, its file and its telegraph: feeds the machine what happened, carries
 * out what it returns, in order, and ends the process when the disk fails.
 */
import 'reflect-metadata'
import { inject, singleton } from 'tsyringe'
import { Bell } from '../gauge/Bell.js'
import { Chance } from '../gauge/Chance.js'
import { clockMs } from '../gauge/clockMs.js'
import { Logbook } from '../gauge/Logbook.js'
import { Meters } from '../gauge/Meters.js'
import { Pace } from '../gauge/Pace.js'
import type { Startup } from '../gauge/Startup.js'
import type { Outside } from '../sidings/Outside.js'
import type { Telegraph } from '../telegraph/Telegraph.js'
import type { Waybill } from '../waybill/Waybill.js'
import { edgeMulti } from '../timetable/edgeMulti.js'
import type { SignalboxEffect } from './SignalboxEffect.js'
import type { SignalboxInput } from './SignalboxInput.js'
import { SignalboxMachine } from './SignalboxMachine.js'

interface SignalboxEvents {
  responded: { id: string; status: number; stamp: number; text: string }
}

@singleton()
export class SignalboxTask {
  readonly bell = new Bell<SignalboxEvents>()
  readonly machine: SignalboxMachine
  readonly pace: Pace
  readonly #startup: Startup['signalbox']
  readonly #logbook: Logbook
  readonly #telegraph: Telegraph
  readonly #waybill: Waybill
  readonly #outside: Outside
  readonly #ordered: (values: Record<string, string>) => void
  readonly #synced: (spanMs: number) => void
  readonly #ticker: NodeJS.Timeout

  constructor(
    @inject('startup') startup: Startup['signalbox'],
    @inject('logbook') logbook: Logbook,
    @inject('telegraph') telegraph: Telegraph,
    @inject('waybill') waybill: Waybill,
    @inject('outside') outside: Outside,
    @inject(Meters) meters: Meters,
  ) {
    this.#startup = startup
    this.#logbook = logbook
    this.#telegraph = telegraph
    this.#waybill = waybill
    this.#outside = outside
    this.pace = Pace(startup.bounds)
    this.#ordered = meters.counter('orders', 'orders sent to servers, by kind', ['kind'])
    this.#synced = meters.span('sync', 'how long a write took to be synced')
    meters.gauges(
      {
        term: 'the term of the agreement',
        commit: 'the last index committed',
        leads: '1 while this machine leads the core',
        dispatches: '1 while this machine holds the dispatcher duty',
        seats_alive: 'seats whose licence is alive, as the leader sees them',
        operations_open: 'operations of operators under way',
        log_bytes: 'size of the log since it was last rewritten',
      },
      () => this.machine.figures(clockMs()),
    )
    this.machine = new SignalboxMachine(
      {
        name: startup.name,
        zone: startup.zone,
        address: telegraph.address,
        seeds: startup.seeds,
        seats: startup.seats,
        bootstrap: startup.bootstrap,
        rewriteBytes: startup.rewriteBytes,
        fenced: startup.fenced,
        policy: edgeMulti,
        system: startup.system,
      },
      this.pace,
      new Chance(crypto.getRandomValues(new Uint32Array(1))[0] ?? 0),
      waybill.records,
      clockMs(),
    )
    this.#carryOut(this.machine.begin())
    telegraph.hear((from, fromAddress, message) => {
      this.step({ kind: 'message', from, fromAddress, message })
    })
    this.#ticker = setInterval(() => {
      this.step({ kind: 'tick', hour: new Date().getUTCHours() + new Date().getUTCMinutes() / 60 })
    }, this.pace.tickMs)
  }

  step(input: SignalboxInput): void {
    this.#carryOut(this.machine.step(input, clockMs()))
  }

  async stop(): Promise<void> {
    clearInterval(this.#ticker)
    await this.#telegraph.close()
    await this.#waybill.close()
  }

  #carryOut(effects: SignalboxEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send':
          this.#telegraph.send(effect.toAddress, effect.message)
          break
        case 'write':
          this.#write(effect)
          break
        case 'respond':
          this.bell.ring('responded', effect)
          break
        case 'askPlatform': {
          const { askedMs } = effect
          void this.#outside.list(this.pace.platformMs).then((servers) => {
            if (servers !== undefined) this.step({ kind: 'platform', servers, askedMs })
          })
          break
        }
        case 'ask': {
          const { server, address, tenure, askedMs } = effect
          void this.#outside.holds(server, address, tenure, this.pace.reportStaleMs / 2).then((report) => {
            this.step({ kind: 'reported', server, report, askedMs })
          })
          break
        }
        case 'order': {
          const { server, address, order } = effect
          this.#ordered({ kind: order.kind })
          void this.#outside.order(server, address, order, this.#startup.name, this.pace.reportStaleMs).then((reply) => {
            this.step({ kind: 'replied', server, tenure: order.tenure, number: order.number, reply })
          })
          break
        }
        case 'say':
          this.#logbook.say(effect.part, effect.sentence)
          break
      }
    }
  }

  #write(effect: Extract<SignalboxEffect, { kind: 'write' }>): void {
    const fromMs = clockMs()
    const synced = effect.rewrite ? this.#waybill.rewrite(effect.records) : this.#waybill.append(effect.records)
    synced.then(
      () => {
        this.#synced(clockMs() - fromMs)
        for (const send of effect.then) this.#telegraph.send(send.toAddress, send.message)
        this.step({ kind: 'written' })
      },
      (error: unknown) => {
        this.#logbook.fatal('waybill', `The disk failed: ${error instanceof Error ? error.message : String(error)}.`)
        process.exit(1)
      },
    )
  }
}
