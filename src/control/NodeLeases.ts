/**
 * The leader's dealings with the data-plane nodes of the cluster: it takes unknown ones into the table, grants leases
 * to those that renew, and tells when a change of the table has reached every node that may be serving.
 */
import type { Message } from '../transport/Message.js'
import { CommitTimes } from './CommitTimes.js'
import type { ControlContext } from './ControlContext.js'
import type { SchedulerRole } from './SchedulerRole.js'
import { SeatDesk } from './SeatDesk.js'
import type { ServerListSync } from './ServerListSync.js'

type Renewal = Extract<Message, { kind: 'renew' }>

export class NodeLeases {
  readonly desk: SeatDesk
  readonly #context: ControlContext
  readonly #serverList: ServerListSync
  readonly #schedulerRole: SchedulerRole
  readonly #commitTimes = new CommitTimes()
  /** When a node that the table lacks was last put to the log. */
  readonly #proposedMs = new Map<string, number>()

  constructor(context: ControlContext, serverList: ServerListSync, schedulerRole: SchedulerRole) {
    this.#context = context
    this.#serverList = serverList
    this.#schedulerRole = schedulerRole
    this.desk = new SeatDesk(context.timings)
  }

  /** This node leads from now on. */
  begin(nowMs: number): void {
    this.desk.begin(this.#context.raft.term, nowMs)
    this.desk.leases.charterMade(this.#context.replicatedState.charterStamp, -Infinity)
    this.#commitTimes.begin()
  }

  /** An entry was applied that made the charter in force. */
  charterMade(entryTerm: number, nowMs: number): void {
    const { raft, replicatedState } = this.#context
    this.desk.leases.charterMade(replicatedState.charterStamp, entryTerm < raft.term ? -Infinity : nowMs)
  }

  /** An entry was applied. */
  committed(index: number, nowMs: number): void {
    const { isNetwork, raft } = this.#context
    if (isNetwork && raft.phase === 'leader') this.#commitTimes.committed(index, nowMs)
  }

  /** An entry of this leader's own term is committed. */
  settled(nowMs: number): void {
    this.#commitTimes.settled(nowMs)
  }

  /** The leader's tick. */
  tick(nowMs: number): void {
    if (this.#context.isNetwork) this.desk.leases.forget(nowMs)
  }

  /** The names of the nodes. */
  get names(): string[] {
    if (this.#context.isNetwork) return this.desk.leases.seats.map(([name]) => name)
    return this.#context.replicatedState.copy.under('seat/').map(([name]) => name)
  }

  countAlive(nowMs: number): number {
    return this.names.filter((name) => this.desk.leases.alive(name, nowMs)).length
  }

  /** True once a change is in force at every node that may be serving. */
  delivered(stamp: number, nowMs: number): boolean {
    if (!this.#context.isNetwork) return this.desk.leases.delivered(stamp, this.names, nowMs)
    const sinceMs = this.#commitTimes.sinceMs(stamp)
    return sinceMs !== undefined && this.desk.leases.adopted(stamp, sinceMs, nowMs)
  }

  /** Answers a node's renewal; true if it was sent a lease. */
  renew(fromAddress: string, renewal: Renewal, nowMs: number): boolean {
    const { raft, replicatedState } = this.#context
    if (!raft.surelyLeads(nowMs) || !raft.settled) return false
    if (!this.#isKnown(renewal.seat)) {
      this.#proposeNode(renewal, nowMs)
      return false
    }
    const platformAgeMs = this.#serverList.ageMs(nowMs)
    const loads = this.#schedulerRole.scheduler?.loads(nowMs)
    const lease = this.desk.renew(renewal, fromAddress, replicatedState.copy, platformAgeMs, nowMs, loads)
    if (lease === undefined) return false
    this.#context.send(fromAddress, lease)
    return true
  }

  #isKnown(name: string): boolean {
    return this.#context.isNetwork || this.#context.replicatedState.copy.get(`seat/${name}`) !== undefined
  }

  #proposeNode({ seat, role, zone }: Renewal, nowMs: number): void {
    if (nowMs - (this.#proposedMs.get(seat) ?? -Infinity) <= this.#context.timings.electionMs) return
    this.#proposedMs.set(seat, nowMs)
    this.#context.propose({ kind: 'seat', name: seat, role, zone, retired: false, operation: '' }, nowMs)
  }
}
