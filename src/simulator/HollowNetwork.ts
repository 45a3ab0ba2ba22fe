/**
 * A whole network of the real machines in one process under virtual time, without sockets, disks or callers:
 * core machines, edge machines (a gateway with its agent) and servers that only say what they hold. Every
 * message is written and read as a frame, so that bytes are those of the wire, and each machine's account
 * holds its messages, bytes and processor time.
 */
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import type { Order } from '../common/Order.js'
import { Timings } from '../common/Timings.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import type { GatewayEffect } from '../gateway/GatewayEffect.js'
import type { GatewayInput } from '../gateway/GatewayInput.js'
import { GatewayMachine } from '../gateway/GatewayMachine.js'
import { AgentMachine } from '../agent/AgentMachine.js'
import type { AgentInput } from '../agent/AgentInput.js'
import type { ControlEffect } from '../control/ControlEffect.js'
import type { ControlInput } from '../control/ControlInput.js'
import { ControlMachine } from '../control/ControlMachine.js'
import { Frame } from '../transport/Frame.js'
import type { Row } from '../consensus/Row.js'
import type { Message } from '../transport/Message.js'
import { edgeMulti } from '../placement/edgeMulti.js'
import { SimClock } from './SimClock.js'
import { HollowSize } from './HollowSize.js'

interface Account {
  sent: number
  sentBytes: number
  heard: number
  heardBytes: number
  cpuUs: number
  turns: number
  kinds: Map<string, number>
}
interface Held {
  listed: PlatformServer
  models: Map<string, Set<string>>
  sequence: number
  busy: boolean
}
interface Edge {
  name: string
  address: string
  zone: string
  agent: AgentMachine
  gateway: GatewayMachine
  nowLoads: readonly unknown[]
}

const zones = 6
const linkMs = 1
const writeMs = 1

export class HollowNetwork {
  readonly clock = new SimClock()
  readonly timings = Timings(Bounds.parse({}))
  readonly accounts = new Map<string, Account>()
  readonly controlNodes = new Map<string, ControlMachine>()
  readonly edges: Edge[] = []
  /** How long each write of operators took until all who may be at work had adopted it. */
  readonly ackMs: number[] = []
  diskBytes = 0
  /** Operators pause while this is false. */
  changing = true
  /** Zones that nothing leaves or comes into while they are named here. */
  cutOff: ReadonlySet<string> = new Set()
  requests = 0
  orders = 0
  readonly #size: HollowSize
  readonly #random = new Random(7)
  readonly #zoneOf = new Map<string, string>()
  readonly #hosts = new Map<string, (frame: Buffer) => void>()
  readonly #servers = new Map<string, Held>()
  readonly #askedMs = new Map<string, number>()
  readonly #operators = new Map<string, (input: ControlInput) => void>()
  #overheadUs = 0
  #revision = 1

  constructor(size: HollowSize) {
    this.#size = size
    this.#calibrate()
    const seeds = Array.from({ length: size.boxes }, (_, at) => `10.0.0.${String(at + 1)}:7`)
    for (const listed of HollowSize.servers(size)) {
      const models = new Map(listed.models?.map((one) => [one.model, new Set(one.adapters)]))
      this.#servers.set(listed.name, { listed, models, sequence: 0, busy: false })
    }
    seeds.forEach((address, at) => {
      this.#addControlNode(`box-${String(at + 1).padStart(2, '0')}`, address, `z${String(at % zones)}`, seeds)
    })
    for (let at = 0; at < size.nodes; at++) this.#addEdge(at, seeds)
  }

  get leader(): string {
    const found = [...this.controlNodes].find(([, one]) => one.raft.settled && one.raft.surelyLeads(this.clock.nowMs))
    return found?.[0] ?? ''
  }

  /** A core machine that follows, the first edge machine of a zone, and the last of all. */
  get roles(): { leader: string; follower: string; parent: string; leaf: string } {
    const { leader } = this
    const follower = [...this.controlNodes.keys()].find((name) => name !== leader) ?? ''
    return { leader, follower, parent: this.edges[0]?.name ?? '', leaf: this.edges.at(-1)?.name ?? '' }
  }

  account(name: string): Account {
    let found = this.accounts.get(name)
    if (found === undefined) {
      found = { sent: 0, sentBytes: 0, heard: 0, heardBytes: 0, cpuUs: 0, turns: 0, kinds: new Map() }
      this.accounts.set(name, found)
    }
    return found
  }

  /** Founds the core, puts the network, and waits until every edge machine works by it. */
  begin(): void {
    const until = (what: string, done: () => boolean) => {
      const endMs = this.clock.nowMs + 60_000
      while (!done()) {
        if (this.clock.nowMs > endMs || !this.clock.turn()) throw new Error(`the hollow network did not ${what} within a minute`)
      }
    }
    until('find a leader', () => this.leader !== '')
    const text = JSON.stringify(HollowSize.network(this.#size, this.#revision))
    this.#operate({ action: 'network.put', text, operation: 'first' })
    until('bring the network to all', () => this.edges.every((one) => one.agent.level && one.agent.copy.get('network') !== undefined))
    this.#drive()
    this.clock.until(this.clock.nowMs + 2500)
  }

  /** Runs for so long and gives the accounts of that span alone. */
  measure(spanMs: number): void {
    this.accounts.clear()
    this.ackMs.length = 0
    this.requests = 0
    this.orders = 0
    this.diskBytes = 0
    this.clock.until(this.clock.nowMs + spanMs)
    for (const account of this.accounts.values()) account.cpuUs = Math.max(0, account.cpuUs - account.turns * this.#overheadUs)
  }

  #calibrate(): void {
    const turns = 20_000
    const account = this.account('nobody')
    for (let at = 0; at < turns; at++) this.#spend('nobody', () => undefined)
    this.#overheadUs = account.cpuUs / turns
    this.accounts.clear()
  }

  #spend<T>(name: string, run: () => T): T {
    const account = this.account(name)
    const before = process.cpuUsage()
    const result = run()
    const spent = process.cpuUsage(before)
    account.cpuUs += spent.user + spent.system
    account.turns += 1
    return result
  }

  #send(from: string, fromAddress: string, toAddress: string, message: Message): void {
    const frame = Frame.write(from, fromAddress, message)
    const account = this.account(from)
    account.sent += 1
    account.sentBytes += frame.length
    this.#count(account, `out as ${message.kind}`, frame.length)
    const cut = (address: string) => this.cutOff.has(this.#zoneOf.get(address) ?? '')
    this.clock.after(linkMs, () => {
      if (cut(fromAddress) === cut(toAddress)) this.#hosts.get(toAddress)?.(frame)
    })
  }

  #count(account: Account, kind: string, bytes: number): void {
    account.kinds.set(kind, (account.kinds.get(kind) ?? 0) + bytes)
  }

  #receive(name: string, frame: Buffer): { from: string; fromAddress: string; message: Message } {
    const read = new Frame().read(frame)
    const first = typeof read === 'string' ? undefined : read[0]
    if (first === undefined) throw new Error('a frame does not read back')
    const account = this.account(name)
    account.heard += 1
    account.heardBytes += frame.length
    this.#count(account, `in as ${first.message.kind}`, frame.length)
    return first
  }

  #addControlNode(name: string, address: string, zone: string, seeds: readonly string[]): void {
    const { clock } = this
    const plan = {
      name,
      zone,
      address,
      seeds,
      seats: [],
      bootstrap: true,
      fenced: true,
      rewriteBytes: 4e6,
      policy: edgeMulti,
      system: '',
      targetVoters: 3,
    }
    const machine = new ControlMachine(plan, this.timings, this.#random.fork(), [], clock.nowMs)
    this.controlNodes.set(name, machine)
    this.#zoneOf.set(address, zone)
    const step = (input: ControlInput) => {
      this.#spend(name, () => {
        carryOut(machine.step(input, clock.nowMs))
      })
    }
    const carryOut = (effects: ControlEffect[]) => {
      for (const effect of effects) {
        if (effect.kind === 'send') this.#send(name, address, effect.toAddress, effect.message)
        else if (effect.kind === 'write') {
          this.diskBytes += effect.records.reduce((sum, one) => sum + one.length, 0)
          clock.after(writeMs, () => {
            this.#spend(name, () => {
              for (const send of effect.then) this.#send(name, address, send.toAddress, send.message)
            })
            step({ kind: 'written' })
          })
        } else if (effect.kind === 'askPlatform')
          clock.after(linkMs, () => {
            step({ kind: 'platform', servers: this.#list(), askedMs: effect.askedMs })
          })
        else if (effect.kind === 'ask') {
          const report = this.#report(effect.server)
          clock.after(linkMs, () => {
            step({ kind: 'reported', server: effect.server, report, askedMs: effect.askedMs })
          })
        } else if (effect.kind === 'order') {
          const reply = this.#order(effect.server, effect.order)
          clock.after(linkMs, () => {
            step({ kind: 'replied', server: effect.server, epoch: effect.order.epoch, number: effect.order.number, reply })
          })
        } else if (effect.kind === 'respond') {
          const askedMs = this.#askedMs.get(effect.id)
          if (askedMs !== undefined && effect.status === 200) this.ackMs.push(clock.nowMs - askedMs)
        }
      }
    }
    this.#hosts.set(address, (frame) => {
      this.#spend(name, () => {
        carryOut(machine.step({ kind: 'message', ...this.#receive(name, frame) }, clock.nowMs))
      })
    })
    this.#operators.set(name, step)
    this.#spend(name, () => {
      carryOut(machine.begin())
    })
    clock.after(this.#random.between(0, this.timings.tickMs), () => {
      const tick = () => {
        step({ kind: 'tick', hour: 0 })
        clock.after(this.timings.tickMs, tick)
      }
      tick()
    })
  }

  #operate(given: { action: 'network.put' | 'network.patch'; text: string; operation: string }): void {
    this.#askedMs.set(given.operation, this.clock.nowMs)
    const operation = { branch: '', ifMatch: -1, waitMs: this.timings.operateMs, leaderMs: this.timings.operateMs, ...given }
    this.#operators.get(this.leader)?.({ kind: 'operate', id: given.operation, operation })
  }

  #addEdge(at: number, seeds: readonly string[]): void {
    const { clock } = this
    const name = `n${String(at).padStart(4, '0')}`
    const address = `10.1.${String(Math.floor(at / 200))}.${String(1 + (at % 200))}:7`
    const zone = `z${String(at % zones)}`
    const random = this.#random.fork()
    const agent = new AgentMachine({ name, zone, address, seeds, proxy: '', system: '' }, this.timings, random, clock.nowMs)
    const plan = { name, zone, retryRatio: 0.2, retryAllowance: 50, retryWindowMs: 10_000, suspectMs: 1400, refillMs: 2000, tallyMs: 250 }
    const gateway = new GatewayMachine(plan, agent.copy, random)
    const edge: Edge = { name, address, zone, agent, gateway, nowLoads: [] }
    this.edges.push(edge)
    this.#zoneOf.set(address, zone)
    const guide = (input: AgentInput) => {
      const rows: Row[] = []
      this.#spend(name, () => {
        for (const effect of agent.step(input, clock.nowMs)) {
          if (effect.kind === 'send') this.#send(name, address, effect.toAddress, effect.message)
          else if (effect.kind === 'adopted') rows.push(...effect.rows)
        }
      })
      if (rows.length > 0) this.#gatewayStep(edge, { kind: 'adopted', rows }, `${name}/adopt`)
    }
    this.#hosts.set(address, (frame) => {
      const { from, fromAddress, message } = this.#spend(name, () => this.#receive(name, frame))
      if (message.kind === 'outlook') this.#gatewayStep(edge, { kind: 'outlook', models: message.models }, `${name}/tick`)
      else guide({ kind: 'message', from, fromAddress, message })
    })
    clock.after(random.between(0, this.timings.tickMs), () => {
      const tick = () => {
        guide({ kind: 'tick' })
        this.#spend(`${name}/tick`, () => {
          gateway.servers.members = agent.memberNames
          if (edge.nowLoads !== agent.loads) {
            edge.nowLoads = agent.loads
            gateway.servers.told(agent.loads)
          }
        })
        this.#gatewayStep(edge, { kind: 'tick' }, `${name}/tick`)
        clock.after(1.5 * this.timings.tickMs, tick)
      }
      tick()
    })
  }

  #gatewayStep(edge: Edge, input: GatewayInput, account: string): void {
    const effects = this.#spend(account, () => edge.gateway.step(input, this.clock.nowMs))
    for (const effect of effects) this.#attend(edge, effect)
  }

  /** A server that takes every request: a head soon, then its events, evenly, then the end. */
  #attend(edge: Edge, effect: GatewayEffect): void {
    if (effect.kind === 'tell') {
      this.#spend(edge.name, () => {
        for (const one of edge.agent.step(
          { kind: 'message', from: edge.name, fromAddress: edge.address, message: effect.message },
          this.clock.nowMs,
        ))
          if (one.kind === 'send') this.#send(edge.name, edge.address, one.toAddress, one.message)
      })
      return
    }
    if (effect.kind !== 'attempt') return
    const { id, attempt } = effect
    const at = (waitMs: number, input: GatewayInput) => {
      this.clock.after(waitMs, () => {
        this.#gatewayStep(edge, input, `${edge.name}/request`)
      })
    }
    const { events, runMs } = this.#size
    at(1, { kind: 'sent', id, attempt })
    at(100, { kind: 'head', id, attempt, status: 200, notRun: false })
    for (let n = 1; n <= events; n++) at(100 + (n * (runMs - 100)) / events, { kind: 'event', id, attempt, event: String(n), data: true })
    at(runMs + 1, { kind: 'ended', id, attempt })
  }

  #drive(): void {
    const { requestsPerS, changesPerS } = this.#size
    const ask = () => {
      const edge = this.#random.pick(this.edges)
      if (edge !== undefined) {
        this.requests += 1
        const arrival = HollowSize.arrival(this.#size, this.requests, this.#random)
        const id = `r${String(this.#revision)}-${String(this.clock.nowMs)}-${String(this.requests)}`
        this.#gatewayStep(edge, { kind: 'arrived', id, host: 'h.example', path: HollowSize.path(0), arrival }, `${edge.name}/request`)
      }
      this.clock.after(1000 / requestsPerS, ask)
    }
    if (requestsPerS > 0) this.clock.after(500, ask)
    const change = () => {
      if (this.changing) this.#change()
      this.clock.after(1000 / changesPerS, change)
    }
    if (changesPerS > 0) this.clock.after(500, change)
  }

  #change(): void {
    this.#revision += 1
    const text = JSON.stringify(HollowSize.change(this.#size, this.#revision))
    this.#operate({ action: 'network.patch', text, operation: `change-${String(this.#revision)}` })
  }

  #list(): PlatformServer[] {
    return [...this.#servers.values()].map(({ listed, models }) => ({
      ...listed,
      models: [...models].map(([model, adapters]) => ({ model, adapters: [...adapters] })),
    }))
  }

  #report(server: string) {
    const held = this.#servers.get(server)
    if (held === undefined) return undefined
    const models = [...held.models.keys()].map((model) => ({ model, state: 'loaded' as const, sizeMb: 0, flights: 0 }))
    const adapters = [...held.models].flatMap(([model, names]) =>
      [...names].map((adapter) => ({ model, adapter, state: 'loaded' as const, flights: 0 })),
    )
    return { server, incarnation: server, madeMs: 0, models, adapters, parts: [], sequence: held.sequence, busy: held.busy }
  }

  #order(server: string, order: Order): 'accepted' | 'turnedAway' {
    const held = this.#servers.get(server)
    this.orders += 1
    if (held === undefined || held.busy || order.expected !== held.sequence) return 'turnedAway'
    held.sequence += 1
    held.busy = true
    this.clock.after(order.kind === 'load' ? HollowSize.loadMs : 20, () => {
      held.busy = false
      if (order.kind === 'unload') held.models.delete(order.model)
      else if (order.kind === 'load') held.models.set(order.model, new Set())
      else if (order.kind === 'attach') held.models.get(order.model)?.add(order.adapter)
      else held.models.get(order.model)?.delete(order.adapter)
    })
    return 'accepted'
  }
}
