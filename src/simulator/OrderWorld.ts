/**
 * Three core machines in virtual time, and what befalls them: links that lag, are cut and deliver late or
 * twice, losses of power with what was not yet synced, restarts from disk, and one disk that is wiped. It
 * carries requests of operators to the machines and their answers back, as the desk of a node does.
 */
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import type { ControlEffect } from '../control/ControlEffect.js'
import { ControlMachine } from '../control/ControlMachine.js'
import { edgeMulti } from '../placement/edgeMulti.js'
import type { Message } from '../transport/Message.js'
import type { OperatorAnswer } from './OperatorAnswer.js'
import type { OperatorRequest } from './OperatorRequest.js'
import type { OrderHistory } from './OrderHistory.js'
import type { OrderSabotage } from './OrderSabotage.js'
import { SimClock } from './SimClock.js'
import { SimDisk } from './SimDisk.js'

const timings = Timings(Bounds.parse({ charterMs: 1600, recoverMs: 6000 }))
const tickMs = 60
const addresses = ['10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7']
const callerSilenceMs = 1000

interface Node {
  readonly address: string
  readonly disk: SimDisk
  machine: ControlMachine | undefined
  life: number
  requests: number
  readonly waiting: Map<string, (answer: OperatorAnswer) => void>
}
export class OrderWorld {
  readonly clock = new SimClock()
  readonly random: Random
  readonly history: OrderHistory = { attempts: [], reads: [], applied: [], zoneDefects: [] }
  readonly nodes: readonly Node[]
  /** What the last acknowledged order said of the zone, until a newer one is sent. */
  zoneOrdered: boolean | undefined
  lossRatio = 0
  readonly #sabotage: OrderSabotage
  readonly #lastMs = new Map<string, number>()
  readonly #cuts = new Map<string, number>()
  readonly #seenTags = new Set<number>()
  #commit = 0

  constructor(seed: number, sabotage: OrderSabotage) {
    this.random = new Random(seed)
    this.#sabotage = sabotage
    this.nodes = addresses.map((address) => ({
      address,
      disk: new SimDisk(this.clock, this.random.fork()),
      machine: undefined,
      life: 0,
      requests: 0,
      waiting: new Map<string, (answer: OperatorAnswer) => void>(),
    }))
    for (const node of this.nodes) this.start(node, true)
  }

  get leader(): Node | undefined {
    return this.nodes.find((node) => node.machine?.raft.surelyLeads(this.clock.nowMs) === true && node.machine.raft.settled)
  }

  start(node: Node, bootstrap = false): void {
    if (node.machine !== undefined) return
    node.life += 1
    node.requests = 0
    const { life } = node
    const name = `box-${node.address}`
    const plan = {
      name,
      zone: 'z',
      address: node.address,
      seeds: addresses,
      seats: [],
      bootstrap,
      fenced: false,
      rewriteBytes: 20_000,
      policy: edgeMulti,
      system: '',
      targetVoters: addresses.length,
    }
    const alike = this.#sabotage.sameLives === true && node.disk.records.length > 0
    const random = alike ? new Random(1) : this.random.fork()
    node.machine = new ControlMachine(plan, timings, random, node.disk.records, this.clock.nowMs)
    this.#carryOut(node, node.machine.begin())
    this.#tick(node, life)
  }

  kill(node: Node): void {
    node.life += 1
    node.machine = undefined
    node.disk.cutPower()
    for (const done of node.waiting.values()) done({ status: 0, text: '' })
    node.waiting.clear()
  }

  /** Cuts the way from one node to another for a while. */
  cut(from: Node, to: Node, spanMs: number): void {
    const way = `${from.address}>${to.address}`
    this.#cuts.set(way, Math.max(this.#cuts.get(way) ?? 0, this.clock.nowMs + spanMs))
  }

  heal(): void {
    this.#cuts.clear()
  }

  /** Sends one request as a caller that leaves after a second of silence; the answer may be lost. */
  ask(node: Node, request: OperatorRequest, answered: (answer: OperatorAnswer) => void): void {
    let open = true
    let hangUp: () => void = () => undefined
    const end = (answer: OperatorAnswer) => {
      if (!open) return
      open = false
      answered(answer)
    }
    this.clock.after(callerSilenceMs, () => {
      end({ status: 0, text: '' })
      hangUp()
    })
    this.clock.after(this.#callerDelayMs(), () => {
      if (!open) return
      if (node.machine === undefined) end({ status: 0, text: '' })
      else hangUp = this.#take(node, node.machine, request, end)
    })
  }

  /** What a node's desk does with a request; returns what it does when the connection closes. */
  #take(node: Node, machine: ControlMachine, request: OperatorRequest, answered: (answer: OperatorAnswer) => void): () => void {
    const forged = this.#sabotage.answer?.(machine, request)
    const lost = this.random.hit(this.lossRatio)
    const answer = (given: OperatorAnswer) => {
      if (!lost)
        this.clock.after(this.#callerDelayMs(), () => {
          answered(given)
        })
    }
    node.requests += 1
    const { life } = node
    const id = String(node.requests)
    node.waiting.set(id, answer)
    this.#step(node, { kind: 'operate', id, operation: { ...request, waitMs: 800, leaderMs: 400 } })
    if (forged !== undefined && node.waiting.delete(id)) answer(forged)
    return () => {
      if (node.life === life && node.waiting.delete(id)) this.#step(node, { kind: 'cancel', id })
    }
  }

  #callerDelayMs(): number {
    return this.random.hit(0.1) ? this.random.between(20, 900) : this.random.between(0.5, 3)
  }

  #tick(node: Node, life: number): void {
    if (node.life !== life) return
    this.#step(node, { kind: 'tick', hour: 0 })
    this.clock.after(tickMs, () => {
      this.#tick(node, life)
    })
  }

  #step(node: Node, input: Parameters<ControlMachine['step']>[0]): void {
    const { machine } = node
    if (machine === undefined) return
    this.#carryOut(node, machine.step(input, this.clock.nowMs))
    if (input.kind === 'tick') this.#sabotage.meddle?.(machine)
    this.#watch(machine)
  }

  #carryOut(node: Node, effects: ControlEffect[]): void {
    const { life } = node
    for (const effect of effects) {
      if (effect.kind === 'send') this.#send(node, effect.toAddress, effect.message)
      else if (effect.kind === 'write')
        node.disk.write(effect.records, effect.rewrite, () => {
          if (node.life !== life) return
          for (const { toAddress, message } of effect.then) this.#send(node, toAddress, message)
          this.#step(node, { kind: 'written' })
        })
      else if (effect.kind === 'respond') {
        const waiting = node.waiting.get(effect.id)
        node.waiting.delete(effect.id)
        waiting?.(effect)
      }
    }
  }

  /** In order on each link, unless it is a copy that an earlier connection held back. */
  #send(from: Node, toAddress: string, sent: Message): void {
    const message = this.#sabotage.change?.(sent) ?? sent
    const way = `${from.address}>${toAddress}`
    const { nowMs } = this.clock
    const healMs = this.#cuts.get(way) ?? 0
    if (healMs > nowMs && this.random.hit(0.6)) return
    const delayMs = this.random.hit(0.01) ? this.random.between(20, 600) : this.random.between(0.3, 3)
    const atMs = Math.max(nowMs, healMs) + delayMs
    const inOrderMs = Math.max(atMs, (this.#lastMs.get(way) ?? 0) + 0.001)
    this.#lastMs.set(way, inOrderMs)
    this.#deliver(from, toAddress, message, inOrderMs)
    const forOperators = message.kind === 'operate' || message.kind === 'operated'
    if (forOperators && this.random.hit(0.2)) this.#deliver(from, toAddress, message, inOrderMs + this.random.between(1, 3000))
  }

  #deliver(from: Node, toAddress: string, message: Message, atMs: number): void {
    this.clock.at(atMs, () => {
      const to = this.nodes.find((one) => one.address === toAddress)
      if (to === undefined || (this.#cuts.get(`${from.address}>${toAddress}`) ?? 0) > this.clock.nowMs) return
      this.#step(to, { kind: 'message', from: `box-${from.address}`, fromAddress: from.address, message })
    })
  }

  /** Notes each network as it comes into force, and holds the zone against what was acknowledged. */
  #watch(machine: ControlMachine): void {
    const { network, copy } = machine.replicatedState
    const tag = network?.services[0]?.connections
    if (network !== undefined && tag !== undefined && !this.#seenTags.has(tag)) {
      this.#seenTags.add(tag)
      this.history.applied.push({ tag, revision: network.revision, fromMs: this.clock.nowMs, toMs: this.clock.nowMs })
    }
    this.#commit = Math.max(this.#commit, machine.raft.commit)
    if (this.zoneOrdered === undefined || machine.raft.commit < this.#commit) return
    if ((copy.get('zone/a') !== undefined) === this.zoneOrdered) return
    this.history.zoneDefects.push(`at ${this.clock.nowMs.toFixed(0)} the zone is not as its last acknowledged order said`)
    this.zoneOrdered = undefined
  }
}
