/**
 * The cluster under exploration: its nodes, the network between them with cuts, losses, delays and
 * duplicates, and the care for its membership, one change at a time, that a leader's surroundings take.
 */
import { Random } from '../../common/Random.js'
import { Bounds } from '../../common/Bounds.js'
import { Timings } from '../../common/Timings.js'
import type { Member } from '../../consensus/Member.js'
import type { Raft } from '../../consensus/Raft.js'
import type { RaftOutput } from '../../consensus/RaftOutput.js'
import type { Message } from '../../transport/Message.js'
import { SimClock } from '../SimClock.js'
import { AgreedLog } from './AgreedLog.js'
import { ClusterNode } from './ClusterNode.js'
import type { ClusterParts } from './ClusterParts.js'
import { Invariants } from './Invariants.js'
import type { Schedule } from './Schedule.js'
import type { ScheduleEvent } from './ScheduleEvent.js'

type CutEvent = Extract<ScheduleEvent, { kind: 'cut' }>
interface Cut {
  from: number[]
  to: number[]
  bothWays: boolean
  hold: boolean
  held: (() => void)[]
}
const foundAtMs = 20
const delayMs = { low: 0.3, high: 3 }
const tickRatio = 0.5
const handOverTries = 8

export class Cluster {
  readonly clock = new SimClock()
  readonly timings: Timings
  readonly agreed: AgreedLog
  readonly invariants: Invariants
  readonly nodes: ClusterNode[] = []
  readonly #schedule: Schedule
  readonly #random: Random
  readonly #seatOf = new Map<string, ClusterNode>()
  readonly #wanted = new Set<ClusterNode>()
  readonly #cuts = new Set<Cut>()
  readonly #usualSpreadMs: number
  #dropRatio: number
  #calm = false
  /** Told of each step that a node took. */
  watch: ((node: ClusterNode, out: RaftOutput) => void) | undefined

  constructor(schedule: Schedule, parts: ClusterParts) {
    this.#schedule = schedule
    this.#random = new Random(schedule.seed)
    this.#dropRatio = schedule.network.dropRatio
    const timings = Timings(Bounds.parse({}))
    this.#usualSpreadMs = timings.electionSpreadMs
    this.timings = {
      ...timings,
      tickMs: tickRatio * timings.heartbeatMs,
      electionSpreadMs: schedule.spreadRatio * timings.electionSpreadMs,
    }
    this.agreed = new AgreedLog(parts)
    this.invariants = new Invariants(this.agreed)
    const host = {
      clock: this.clock,
      random: this.#random.fork(),
      timings: this.timings,
      parts,
      agreed: this.agreed,
      invariants: this.invariants,
      compactEvery: schedule.compactEvery,
      send: (from: ClusterNode, to: string, message: Message) => {
        this.#send(from, to, message)
      },
      ticked: (raft: Raft, nowMs: number) => {
        if (raft.phase === 'leader') this.#careForMembers(raft, nowMs)
      },
      collected: (node: ClusterNode, out: RaftOutput) => {
        if (node.raft !== undefined) this.#seatOf.set(node.raft.identity, node)
        this.watch?.(node, out)
      },
    }
    for (let number = 0; number < schedule.seats; number++) {
      const rate = 1 + schedule.clockDrift * (2 * this.#random.next() - 1)
      const node = new ClusterNode(number, rate, host)
      this.nodes.push(node)
      if (number < schedule.founders) this.#wanted.add(node)
    }
  }

  begin(): void {
    for (const node of this.nodes) node.start()
    this.clock.at(foundAtMs, () => {
      const founders = this.nodes.slice(0, this.#schedule.founders)
      const members = founders.map((node) => Cluster.#member(node, true))
      this.nodes[0]?.step((raft, nowMs) => {
        raft.found(members, nowMs)
      })
    })
  }

  /** All faults end: whatever is down runs, and the network is whole and in time. */
  calm(): void {
    this.#calm = true
    this.timings.electionSpreadMs = this.#usualSpreadMs
    for (const cut of this.#cuts) this.#heal(cut)
    for (const node of this.nodes) node.calm()
  }

  /** All that hold themselves to be the leader, frozen ones too. */
  get leaders(): ClusterNode[] {
    return this.nodes.filter((node) => node.leads)
  }

  cut(event: CutEvent): void {
    const from = event.from === 'leader' ? this.leaders.slice(0, 1).map((node) => node.number) : event.from
    const cut = { ...event, from, to: event.to.filter((number) => !from.includes(number)), held: [] }
    this.#cuts.add(cut)
    this.clock.after(event.forMs, () => {
      this.#heal(cut)
    })
  }

  lose(ratio: number, forMs: number): void {
    this.#dropRatio = ratio
    this.clock.after(forMs, () => {
      this.#dropRatio = this.#schedule.network.dropRatio
    })
  }

  /** Leaders are to hand over, and are asked again until they do or a while has passed. */
  handOver(tries = handOverTries): void {
    if (tries === 0 || this.#calm) return
    for (const leader of this.leaders)
      leader.step((raft, nowMs) => {
        raft.transferLeadership(nowMs)
      })
    this.clock.after(this.timings.tickMs, () => {
      this.handOver(tries - 1)
    })
  }

  join(node: ClusterNode): void {
    this.#wanted.add(node)
  }

  leave(node: ClusterNode): void {
    if (this.#wanted.size > 1) this.#wanted.delete(node)
  }

  #heal(cut: Cut): void {
    if (!this.#cuts.delete(cut)) return
    cut.held.forEach((deliver, at) => {
      this.clock.after(0.01 * (at + 1), deliver)
    })
  }

  #send(from: ClusterNode, to: string, message: Message): void {
    const target = this.#seatOf.get(to)
    if (target === undefined) return
    const { duplicateRatio } = this.#schedule.network
    if (!this.#calm && this.#random.hit(this.#dropRatio)) return
    this.#deliverLater(from, target, message)
    if (!this.#calm && this.#random.hit(duplicateRatio)) this.#deliverLater(from, target, message)
  }

  #deliverLater(from: ClusterNode, to: ClusterNode, message: Message): void {
    const { lateRatio, lateMs } = this.#schedule.network
    const late = !this.#calm && this.#random.hit(lateRatio) ? this.#random.next() * lateMs : 0
    this.clock.after(this.#random.between(delayMs.low, delayMs.high) + late, () => {
      this.#deliver(from, to, message)
    })
  }

  #deliver(from: ClusterNode, to: ClusterNode, message: Message): void {
    for (const cut of this.#cuts) {
      const forth = cut.from.includes(from.number) && cut.to.includes(to.number)
      const back = cut.bothWays && cut.to.includes(from.number) && cut.from.includes(to.number)
      if (!forth && !back) continue
      if (cut.hold)
        cut.held.push(() => {
          this.#deliver(from, to, message)
        })
      return
    }
    to.receive(message)
  }

  static #member(node: ClusterNode, voter: boolean): Member {
    return { identity: node.syncedIdentity, seat: node.seat, address: node.seat, voter }
  }

  /** One change at a time: whoever is new is a learner first, and gets its vote once its old identity is gone. */
  #careForMembers(raft: Raft, nowMs: number): void {
    if (!raft.settled || raft.changing) return
    const next = this.#nextMembers(raft)
    if (next !== undefined) raft.changeMembers(next, nowMs)
  }

  #nextMembers(raft: Raft): Member[] | undefined {
    const members = [...raft.members]
    for (const learner of members.filter((one) => !one.voter)) {
      const without = members.filter((one) => one !== learner)
      if (!this.invariants.intact(learner.identity)) return without
      if (!raft.caughtUp(learner.identity)) continue
      const old = members.find((one) => one.seat === learner.seat && one !== learner)
      return old === undefined ? [...without, { ...learner, voter: true }] : members.filter((one) => one !== old)
    }
    for (const node of this.nodes) {
      const { syncedIdentity } = node
      const present = members.some((one) => one.identity === syncedIdentity)
      if (this.#wanted.has(node)) {
        if (!present && syncedIdentity !== '') return [...members, Cluster.#member(node, false)]
      } else {
        const left = members.filter((one) => one.seat !== node.seat)
        if (left.length < members.length - 1) continue
        if (left.length < members.length && this.invariants.keepsMajority(left)) return left
      }
    }
    return undefined
  }
}
