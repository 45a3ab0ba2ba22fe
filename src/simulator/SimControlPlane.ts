/**
 * The simulated control nodes: they start, are killed, lose their disks and are founded again from one of them.
 */
import { refound } from '../consensus/refound.js'
import type { ControlEffect } from '../control/ControlEffect.js'
import type { ControlInput } from '../control/ControlInput.js'
import { ControlMachine } from '../control/ControlMachine.js'
import type { SimControlEffects } from './SimControlEffects.js'
import type { SimControlNode } from './SimControlNode.js'
import type { SimDataPlane } from './SimDataPlane.js'
import { SimDisk } from './SimDisk.js'
import { SimProcess } from './SimProcess.js'
import { SimSabotage } from './SimSabotage.js'
import type { SimWorld } from './SimWorld.js'

const hourMs = 3_600_000
const hoursADay = 24
const firstHour = 12
const rewriteBytes = 60_000
const targetVoters = 3

export class SimControlPlane {
  readonly nodes = new Map<string, SimControlNode>()
  /** How far a node's wall clock is off, in hours. */
  readonly hoursOff = new Map<string, number>()
  readonly #world: SimWorld
  readonly #dataPlane: SimDataPlane
  readonly #effects: SimControlEffects
  readonly #sabotage: SimSabotage

  constructor(world: SimWorld, dataPlane: SimDataPlane, effects: SimControlEffects) {
    this.#world = world
    this.#dataPlane = dataPlane
    this.#effects = effects
    this.#sabotage = new SimSabotage(world.options.broken)
  }

  add(name: string, zone: string): void {
    this.nodes.set(name, this.#make(name, zone, name))
  }

  #make(name: string, zone: string, host: string): SimControlNode {
    const { clock, random, timings, options } = this.#world
    const disk = new SimDisk(clock, random.fork())
    disk.lies = options.broken === 'sync'
    const process = new SimProcess<ControlInput, ControlEffect, ControlMachine>(
      name,
      host,
      clock,
      random.fork(),
      timings.tickMs,
      () => ({ kind: 'tick', hour: this.#hour(name) }),
      (effect, life) => {
        this.#effects.perform(node, effect, life)
      },
    )
    const node: SimControlNode = { process, disk, address: this.#world.freshAddress(host), zone }
    return node
  }

  #hour(name: string): number {
    return (firstHour + this.#world.clock.nowMs / hourMs + (this.hoursOff.get(name) ?? 0) + hoursADay) % hoursADay
  }

  start(name: string): void {
    const node = this.nodes.get(name)
    if (node !== undefined && !node.process.alive) this.#start(name, node)
  }

  #start(name: string, node: SimControlNode): void {
    const { process, disk } = node
    const { timings, random, network } = this.#world
    const machine = new ControlMachine(this.#plan(name, node), timings, random.fork(), disk.records, process.nowMs)
    network.open(node.address, process.host, (from, fromAddress, message) => {
      const taken = this.#sabotage.toControlNode(message, machine.raft.term, process.nowMs)
      process.deliver({ kind: 'message', from, fromAddress, message: taken })
      if (message.kind === 'renew') this.#watchCredit(machine, message.seat, message.session)
    })
    process.start(machine, machine.begin())
  }

  #plan(name: string, { zone, address, process }: SimControlNode): ConstructorParameters<typeof ControlMachine>[0] {
    const { options, seeds, system } = this.#world
    return {
      name,
      zone,
      address,
      seeds,
      seats: options.deployment.controlNodes.map((one) => one.name),
      bootstrap: false,
      fenced: false,
      rewriteBytes,
      policy: options.policy,
      system: process.host === name ? system : '',
      targetVoters,
    }
  }

  /** Sees whether a renewal was counted that a former life sent, while the present one has had a lease. */
  #watchCredit(machine: ControlMachine, seat: string, session: string): void {
    const { see, clock } = this.#world
    const present = this.#dataPlane.agents.get(seat)?.process.machine
    if (present === undefined || present.session === session || present.heardCoreMs === -Infinity) return
    if (machine.creditedSession(seat) === session) see({ kind: 'formerLife', atMs: clock.nowMs, seat })
  }

  /** Ends a node's process; with the power it may lose what was not synced. */
  kill(name: string, power: boolean): void {
    const node = this.nodes.get(name)
    if (node === undefined) return
    this.#world.network.close(node.address)
    if (power) node.disk.cutPower()
    node.process.kill()
  }

  /** A node whose disk is gone comes back empty, elsewhere; the seeds follow. */
  replace(name: string): void {
    const node = this.nodes.get(name)
    if (node === undefined) return
    this.kill(name, true)
    node.disk.lose()
    const old = node.address
    node.address = this.#world.freshAddress(name)
    this.#world.seeds = this.#world.seeds.map((seed) => (seed === old ? node.address : seed))
  }

  /** A node that was given up wakes, with the disk that it had, beside whatever stands in its seat now. */
  wakeReplaced(name: string, records: readonly Uint8Array[]): void {
    const node = this.#make(name, this.nodes.get(name)?.zone ?? '', `old-${name}`)
    node.disk.records = [...records]
    this.#start(name, node)
  }

  /** Founds the control plane again from the disk of one stopped node. */
  refound(name: string): void {
    const node = this.nodes.get(name)
    if (node === undefined || node.process.alive) return
    const { clock } = this.#world
    this.#world.system = `again-${String(Math.round(clock.nowMs))}`
    const again = refound(node.disk.records, { seat: name, address: node.address, system: this.#world.system })
    if (again !== undefined) node.disk.records = again.records
  }
}
