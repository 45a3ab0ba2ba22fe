/**
 * A whole fleet of model servers in virtual time: the dispatcher, several gateways and the servers, with clients that
 * honour Retry-After and try once more. The state machines are those that the daemons run; links, the log and the weight
 * store are stood in for by delays. It measures what clients are served while models outnumber the places for them.
 */
import { Random } from '../../common/Random.js'
import { Timings } from '../../common/Timings.js'
import { Verdict } from '../../common/Verdict.js'
import type { Order } from '../../common/Order.js'
import { ReplicaTable } from '../../consensus/ReplicaTable.js'
import type { Row } from '../../consensus/Row.js'
import { DelayCounts } from '../../gateway/DelayCounts.js'
import type { GatewayEffect } from '../../gateway/GatewayEffect.js'
import { GatewayMachine } from '../../gateway/GatewayMachine.js'
import { Dispatcher } from '../../placement/Dispatcher.js'
import { edgeMulti } from '../../placement/edgeMulti.js'
import type { Policy } from '../../placement/Policy.js'
import { SimClock } from '../SimClock.js'
import { CountingServer } from './CountingServer.js'
import type { DemandPattern } from './DemandPattern.js'
import type { RequestKind } from './RequestKind.js'
import { ServiceRecord } from './ServiceRecord.js'

interface Plan {
  seed: number
  servers: number
  zones: number
  gateways: number
  capacity: number
  models: readonly string[]
  adapters: readonly string[]
  modelMb: (model: string) => number
  roomMb: number
  loadMs: number
  loadsPerS: number
  kinds: readonly RequestKind[]
  policy?: Policy
  /** How much slower than the fastest a server reads prompts, by its place. */
  slowness?: (at: number) => number
}
interface Try {
  kind: RequestKind
  model: string
  adapter: string
  chain: number
  firstMs: number
  dueMs: number
  number: number
  gateway: number
  attempt: number
  server: string
}
const service = 'llm'
const stepMs = 5
const dispatchMs = 30
const linkMs = 2
const logMs = 15
const listMs = 600
const listLagMs = 800
const tellLoadsMs = 250
const unloadMs = 60
const attachMs = 10
const warmRatio = 0.15
const firstTokenMs = 40
const queueRatio = 3
const crossZoneMs = 1

export class PlacementWorld {
  readonly dispatcher: Dispatcher
  readonly record = new ServiceRecord()
  readonly servers = new Map<string, CountingServer>()
  loads = 0
  readonly #plan: Plan
  readonly #policy: Policy
  readonly #copy = new ReplicaTable()
  readonly #gateways: GatewayMachine[] = []
  readonly #clock = new SimClock()
  readonly #random: Random
  readonly #tries = new Map<string, Try>()
  /** Tries that got the first byte of an answer. */
  readonly #answered = new Set<string>()
  #number = 0

  get nowMs(): number {
    return this.#clock.nowMs
  }

  constructor(plan: Plan, holds: readonly (readonly string[])[]) {
    this.#plan = plan
    this.#random = new Random(plan.seed)
    const timings = Timings({ charterMs: 2500, recoverMs: 15_000, drainMs: 4000, emptyMs: 5000 })
    this.#policy = plan.policy ?? edgeMulti
    this.dispatcher = new Dispatcher(timings, 1, true, this.#policy, 0)
    const names = Array.from({ length: plan.gateways }, (_, at) => `gateway-${String(at)}`)
    for (const name of names) this.#gateways.push(this.#gateway(name, names))
    this.#configure()
    for (let at = 0; at < plan.servers; at++) this.#start(`server-${String(at)}`, `zone-${String(at % plan.zones)}`, holds[at] ?? [])
  }

  /** Lets time pass, with the requests of the patterns. */
  run(forMs: number, patterns: readonly DemandPattern[] = [], each: () => void = () => undefined): void {
    const fromMs = this.nowMs
    while (this.nowMs < fromMs + forMs) {
      this.#clock.until(this.nowMs + stepMs)
      for (const server of this.servers.values()) server.advance(this.nowMs)
      for (const pattern of patterns) for (const draw of pattern.due(this.nowMs, fromMs)) this.#ask(pattern.kind, draw)
      if (this.nowMs % dispatchMs === 0) this.#dispatch()
      if (this.nowMs % listMs === 0) this.#list()
      if (this.nowMs % tellLoadsMs === 0) for (const gateway of this.#gateways) gateway.servers.told(this.dispatcher.loads(this.nowMs))
      if (this.nowMs % dispatchMs === 0) for (const at of this.#gateways.keys()) this.#step(at, { kind: 'tick' })
      each()
    }
  }

  #gateway(name: string, members: readonly string[]): GatewayMachine {
    const plan = {
      name,
      zone: this.#zoneOf(this.#gateways.length),
      retryRatio: 0.2,
      retryAllowance: 100,
      retryWindowMs: 10_000,
      suspectMs: 1400,
      refillMs: 2000,
      tallyMs: 250,
    }
    const machine = new GatewayMachine(plan, this.#copy, this.#random.fork(), this.#policy.mechanisms)
    machine.servers.members = members
    return machine
  }

  #configure(): void {
    const { models, adapters, capacity, loadsPerS, loadMs, modelMb, roomMb, kinds } = this.#plan
    const batch = {
      capacity,
      cacheTokens: 100_000,
      roomMb,
      adapterPlaces: 8,
      loadsPerS,
      models: models.map((name) => ({ name, sizeMb: modelMb(name), loadMs, adapters, adapterMb: 10 })),
    }
    this.#put('network', '{"revision":1}')
    this.#put(`service/${service}`, JSON.stringify({ name: service, connections: 500, warmMs: 0, coldPerS: 0, batch }))
    for (const kind of kinds) {
      const route = {
        name: kind.name,
        host: 'h.example',
        prefix: `/${kind.name}/`,
        kind: 'stream',
        timeoutMs: kind.dueMs,
        aimMs: kind.aimMs,
        attempts: kind.attempts,
        resumable: kind.resumable,
        gapMs: 600,
        silenceMs: kind.silenceMs,
        urgency: kind.urgency,
        services: [{ service, weight: 1 }],
      }
      this.#put(`route/${kind.name}`, JSON.stringify(route))
    }
  }

  #start(name: string, zone: string, models: readonly string[]): void {
    const at = this.servers.size
    this.servers.set(name, new CountingServer(name, zone, models, this.#plan.slowness?.(at)))
    const row = { name, address: '127.0.0.1:1', zone, service, draining: false, capacity: this.#plan.capacity, cold: false }
    this.#put(`server/${name}`, JSON.stringify(row))
  }

  #put(key: string, value: string | undefined): void {
    const row: Row = { key, stamp: this.#copy.stamp + 1, gone: value === undefined, value: value ?? '' }
    this.#copy.set(row)
    for (const at of this.#gateways.keys()) this.#step(at, { kind: 'adopted', rows: [row] })
  }

  #dispatch(): void {
    const out = this.dispatcher.tick(this.#copy, true, 0, this.nowMs)
    this.#after(logMs, () => {
      for (const row of out.rows) this.#put(row.key, row.gone ? undefined : row.value)
    })
    for (const { server } of out.asks) this.#read(server)
    for (const { server, order } of out.orders) {
      this.#after(linkMs, () => {
        this.#order(server, order)
      })
    }
  }

  #list(): void {
    const askedMs = this.nowMs
    const servers = [...this.servers.values()].map((server) => ({
      name: server.name,
      address: '127.0.0.1:1',
      zone: server.zone,
      draining: false,
      service,
      models: [...server.models].map(([model, adapters]) => ({ model, adapters: [...adapters] })),
    }))
    this.#after(listLagMs, () => {
      this.dispatcher.listed(servers, askedMs + listLagMs, this.nowMs)
    })
  }

  #read(name: string): void {
    const askedMs = this.nowMs
    const asOf = this.servers.get(name)?.report(this.nowMs)
    this.#after(2 * linkMs, () => {
      this.dispatcher.reported(name, asOf, askedMs, this.nowMs)
    })
  }

  #order(name: string, order: Order): void {
    const server = this.servers.get(name)
    if (server === undefined) return
    const plain = { ...order, model: order.model.slice(service.length + 1) }
    const reply = server.take(plain, this.#tookMs(server, plain), this.nowMs)
    if (reply === 'accepted' && order.kind === 'load') this.loads += 1
    this.#after(linkMs, () => {
      this.dispatcher.replied(name, order.number, reply, this.nowMs)
    })
  }

  /** Past the loads at once that its pace bears, the weight store gives each one more slowly. */
  #tookMs(server: CountingServer, order: Order): number {
    if (order.kind === 'attach' || order.kind === 'detach') return attachMs
    if (order.kind === 'unload') return unloadMs
    const { loadMs, loadsPerS } = this.#plan
    if (server.onDisk.has(order.model)) return warmRatio * loadMs
    const atOnce = 1 + [...this.servers.values()].filter((one) => one.loading).length
    return loadMs * Math.max(1, atOnce / ((loadsPerS * loadMs) / 1000))
  }

  #ask(kind: RequestKind, { model, adapter, chain }: { model: string; adapter: string; chain: number }): void {
    this.record.asked(kind.name, model, adapter, this.nowMs)
    this.#try({
      kind,
      model,
      adapter,
      chain,
      firstMs: this.nowMs,
      dueMs: this.nowMs + kind.dueMs,
      number: 1,
      gateway: this.#random.below(this.#gateways.length),
      attempt: 0,
      server: '',
    })
  }

  #try(one: Try): void {
    this.#number += 1
    const id = `q${String(this.#number)}`
    this.#tries.set(id, one)
    const arrival = {
      id,
      dueInMs: one.dueMs - this.nowMs,
      resumeAfter: undefined,
      model: one.model,
      adapter: one.adapter,
      promptTokens: one.kind.promptTokens,
      parts: one.kind.sharedTokens > 0 ? [{ id: `chain-${String(one.chain)}`, tokens: one.kind.sharedTokens }] : [],
    }
    this.#after(one.kind.silenceMs, () => {
      if (this.#tries.get(id) !== one || this.#answered.has(id)) return
      this.#step(one.gateway, { kind: 'callerGone', id })
      this.#left(id)
    })
    this.#step(one.gateway, { kind: 'arrived', id, host: 'h.example', path: `/${one.kind.name}/x`, arrival })
  }

  #step(at: number, input: Parameters<GatewayMachine['step']>[0]): void {
    for (const effect of this.#gateways[at]?.step(input, this.nowMs) ?? []) this.#carryOut(at, effect)
  }

  #carryOut(at: number, effect: GatewayEffect): void {
    switch (effect.kind) {
      case 'attempt':
        this.#after(linkMs, () => {
          this.#reached(at, effect.id, effect.attempt, effect.server)
        })
        break
      case 'turnAway':
        this.#refused(effect.id, effect.comeBackMs ?? 0, effect.why)
        break
      case 'breakOff':
        this.#left(effect.id)
        break
      case 'release': {
        const one = this.#tries.get(effect.id)
        if (one !== undefined) this.#leave(one)
        break
      }
      case 'tell': {
        const { message } = effect
        this.#after(linkMs, () => {
          const { session, adopted, held, flights, arrivals } = message
          this.dispatcher.tally(message.seat, { session, adopted, held, flights }, arrivals, this.nowMs)
          if (held.length === 0) return
          const models = this.dispatcher.outlook(held, this.nowMs)
          this.#after(linkMs, () => {
            this.#step(at, { kind: 'outlook', models })
          })
        })
        break
      }
      default:
    }
  }

  #reached(at: number, id: string, attempt: number, name: string): void {
    const one = this.#tries.get(id)
    const server = this.servers.get(name)
    if (one === undefined || server === undefined) return
    this.#step(at, { kind: 'sent', id, attempt })
    const full = server.running >= queueRatio * this.#plan.capacity || this.#random.hit(server.refusesRatio)
    if (full || !server.holds(one.model, one.adapter)) {
      this.#step(at, { kind: 'head', id, attempt, status: full ? 503 : 421, notRun: true })
      return
    }
    one.attempt = attempt
    one.server = name
    server.started(one.model)
    const crowd = Math.max(1, server.running / this.#plan.capacity)
    const { kind } = one
    const chain = `${one.model}/${one.adapter}/${kind.name}/${String(one.chain)}`
    const readMs = server.read(chain, kind.sharedTokens, kind.promptTokens - kind.sharedTokens, this.nowMs)
    const firstMs = this.#wayMs(at, server) + readMs + firstTokenMs * crowd
    this.#after(firstMs, () => {
      if (this.#tries.get(id)?.attempt !== attempt) return
      this.#step(at, { kind: 'head', id, attempt, status: 200, notRun: false })
      this.#answered.add(id)
      this.#step(at, { kind: 'event', id, attempt, event: '1', data: true })
    })
    this.#after(firstMs + kind.runMs * crowd, () => {
      if (this.#tries.get(id)?.attempt !== attempt) return
      this.#step(at, { kind: 'ended', id, attempt })
      this.#leave(one)
      this.#tries.delete(id)
      const firstByteMs = this.nowMs - kind.runMs * crowd
      this.record.served(kind.name, one.model, one.adapter, firstByteMs - one.firstMs <= kind.aimMs)
    })
  }

  /** What the way to a server and back takes beyond that of a server in the gateway's own zone. */
  #wayMs(at: number, server: CountingServer): number {
    return server.zone === this.#zoneOf(at) ? 0 : 2 * crossZoneMs
  }

  #zoneOf(gateway: number): string {
    return `zone-${String(gateway % this.#plan.zones)}`
  }

  /** Takes servers away for good, with what they hold. */
  crash(names: readonly string[]): void {
    for (const name of names) {
      this.servers.delete(name)
      this.#put(`server/${name}`, undefined)
      for (const [id, one] of [...this.#tries])
        if (one.server === name)
          this.#step(one.gateway, { kind: 'defect', id, attempt: one.attempt, verdict: Verdict.mayHaveRun, why: 'reset' })
    }
  }

  /** What all gateways together count of the time until first bytes. */
  get delays(): DelayCounts {
    const sum = new DelayCounts()
    for (const gateway of this.#gateways) for (const count of gateway.delays.all) sum.merge(count)
    return sum
  }

  #leave(one: Try): void {
    if (one.server !== '') this.servers.get(one.server)?.ended(one.model)
    one.server = ''
    one.attempt = 0
  }

  #left(id: string): void {
    const one = this.#tries.get(id)
    if (one !== undefined) this.#leave(one)
    this.#tries.delete(id)
  }

  /** A client that is refused comes back once, when it was told to but within a third of the time that it has left. */
  #refused(id: string, comeBackMs: number, why: string): void {
    const one = this.#tries.get(id)
    if (one !== undefined) this.record.refused(`${one.kind.name} try ${String(one.number)}`, why, this.nowMs - one.firstMs)
    this.#left(id)
    const leftMs = (one?.dueMs ?? 0) - this.nowMs
    if (one === undefined || one.number > 1 || leftMs <= 0) return
    this.#after(Math.min(comeBackMs, leftMs / 3), () => {
      this.#try({ ...one, number: one.number + 1, gateway: this.#random.below(this.#gateways.length), attempt: 0, server: '' })
    })
  }

  #after(ms: number, run: () => void): void {
    this.#clock.after(ms, run)
  }
}
