/**
 * The state machine of a control node: the consensus log and the replicated state, discovery and membership, leases of
 * the data-plane nodes, operators' requests and, while the node holds its role, the placement scheduler. It is told what
 * happened and returns what to send, write, answer and ask.
 */
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import type { Entry } from '../consensus/Entry.js'
import type { PeerDirectory } from '../consensus/PeerDirectory.js'
import type { Raft } from '../consensus/Raft.js'
import type { ReplicatedState } from '../consensus/ReplicatedState.js'
import type { Dispatcher } from '../placement/Dispatcher.js'
import type { ControlContext } from './ControlContext.js'
import type { ControlEffect } from './ControlEffect.js'
import type { ControlInput } from './ControlInput.js'
import { ControlMessageRouter } from './ControlMessageRouter.js'
import { ControlParts } from './ControlParts.js'
import type { ControlPlan } from './ControlPlan.js'
import { WallClockMonitor } from './WallClockMonitor.js'

export class ControlMachine {
  readonly #parts: ControlParts
  readonly #context: ControlContext
  readonly #router: ControlMessageRouter
  readonly #wallClock = new WallClockMonitor()
  #lastTickMs: number

  constructor(plan: ControlPlan, timings: Timings, random: Random, disk: readonly Uint8Array[], nowMs: number) {
    this.#parts = new ControlParts(plan, timings, random, disk, nowMs)
    this.#context = this.#parts.context
    this.#router = new ControlMessageRouter(this.#parts)
    this.#lastTickMs = nowMs
    this.#collect(nowMs)
  }

  get raft(): Raft {
    return this.#parts.raft
  }

  get directory(): PeerDirectory {
    return this.#parts.directory
  }

  get replicatedState(): ReplicatedState {
    return this.#context.replicatedState
  }

  set replicatedState(state: ReplicatedState) {
    this.#context.replicatedState = state
  }

  /** The placement scheduler, while this node holds its role. */
  get dispatcher(): Dispatcher | undefined {
    return this.#parts.schedulerRole.scheduler
  }

  /** Other seeds take the place of the old ones; whoever was learned of stays known. */
  reseed(seeds: readonly string[]): void {
    this.#parts.discovery.reseed(seeds)
  }

  /** Before it stops, a node hands over what it does for the control plane; see mayStop. */
  leave(nowMs: number): void {
    this.#parts.membership.leave(nowMs)
  }

  /** True once a node that is leaving may stop. */
  get mayStop(): boolean {
    return this.#parts.membership.mayStop
  }

  /** The session of a node whose adoption this leader counts; empty while none is proven. */
  creditedSession(seat: string): string {
    return this.#parts.nodeLeases.desk.leases.creditedSession(seat)
  }

  /** Values of this node's metrics. */
  figures(nowMs: number): Record<string, number> {
    return {
      term: this.raft.term,
      commit: this.raft.commit,
      leads: this.#context.leading ? 1 : 0,
      dispatches: this.dispatcher === undefined ? 0 : 1,
      seats_alive: this.#parts.nodeLeases.countAlive(nowMs),
      operations_open: this.#parts.requests.open,
      log_bytes: this.#parts.output.logBytes,
      log_index: this.raft.lastIndex,
      members: this.raft.members.length,
      voters: this.raft.members.filter((one) => one.voter).length,
      servers_known: this.replicatedState.copy.under('server/').length,
      ...(this.dispatcher === undefined ? {} : { unmet_wants: this.dispatcher.unmet.length }),
    }
  }

  /** What the constructor already asks for: the identity's first write. */
  begin(): ControlEffect[] {
    return this.#context.takeEffects()
  }

  step(input: ControlInput, nowMs: number): ControlEffect[] {
    switch (input.kind) {
      case 'tick':
        this.#readWallClock(input.hour, nowMs)
        this.#tick(input.hour, nowMs)
        break
      case 'message':
        this.#router.receive(input.from, input.fromAddress, input.message, nowMs)
        break
      case 'written':
        this.raft.written(nowMs)
        break
      case 'operate':
        this.#parts.requests.operate(input.id, input.operation, nowMs)
        break
      case 'cancel':
        this.#parts.requests.cancel(input.id)
        break
      case 'platform':
        this.#onServerList(input.servers, input.askedMs, nowMs)
        break
      case 'reported':
        this.dispatcher?.reported(input.server, input.report, input.askedMs, nowMs)
        break
      case 'replied':
        this.#onReply(input, nowMs)
        break
    }
    this.#collect(nowMs)
    return this.#context.takeEffects()
  }

  #readWallClock(hour: number, nowMs: number): void {
    const jumpMs = this.#wallClock.read(hour, nowMs)
    if (jumpMs === undefined) return
    this.#parts.account.jumped = { atMs: nowMs, byMs: jumpMs }
    this.#context.say('control', `The wall clock jumped by ${String(jumpMs)} ms; only hours of intents go by it.`)
  }

  #tick(hour: number, nowMs: number): void {
    this.#reportFreeze(nowMs)
    this.raft.tick(nowMs)
    this.#collect(nowMs)
    this.#parts.discovery.tick(nowMs)
    this.#parts.membership.tick(nowMs)
    if (this.#context.leading) this.#lead(nowMs)
    this.#parts.schedulerRole.tick(hour, nowMs)
    this.#parts.output.compactIfLong(nowMs)
    this.#parts.requests.tick(nowMs)
  }

  #reportFreeze(nowMs: number): void {
    const lateMs = nowMs - this.#lastTickMs
    this.#lastTickMs = nowMs
    if (lateMs <= this.#context.timings.frozenMs) return
    this.#context.say('control', `Was frozen for ${String(Math.round(lateMs))} ms; confirms its lease first.`)
  }

  /** What only the leader does on a tick. */
  #lead(nowMs: number): void {
    this.#parts.serverList.askIfDue(nowMs)
    this.#parts.schedulerLeases.tick(nowMs)
    this.#parts.cluster.bootstrap(nowMs)
    this.#parts.nodeLeases.tick(nowMs)
    this.#parts.membership.lead(nowMs)
  }

  #onServerList(servers: PlatformServer[], askedMs: number, nowMs: number): void {
    if (this.#context.isNetwork) this.dispatcher?.listed(servers, askedMs, nowMs)
    this.#parts.serverList.listed(servers, nowMs)
  }

  #onReply({ server, epoch, number, reply }: Extract<ControlInput, { kind: 'replied' }>, nowMs: number): void {
    if (this.dispatcher?.epoch !== epoch) return
    this.dispatcher.replied(server, number, reply === 'held' ? 'accepted' : reply, nowMs)
  }

  /** Turns what the consensus log asks for into effects, and applies what it committed. */
  #collect(nowMs: number): void {
    const out = this.raft.take()
    this.#parts.output.carryOut(out)
    for (const entry of out.applied) this.#apply(entry, nowMs)
    if (out.applied.length > 0 || out.adopted !== undefined) this.#followTable(nowMs)
    for (const id of out.lostReads) this.#parts.requests.lost(id)
    for (const id of out.readable) this.#parts.requests.readable(id, nowMs)
    this.#followLeader(nowMs)
    this.#parts.requests.finish(nowMs)
    const leads = this.raft.phase === 'leader'
    if (leads !== this.#context.leading) this.#collect(nowMs)
  }

  #apply(entry: Entry, nowMs: number): void {
    const charterBefore = this.replicatedState.charterStamp
    const settlement = entry.type === 'command' ? this.replicatedState.apply(entry.index, entry.bytes) : undefined
    this.#context.applied = entry.index
    if (settlement !== undefined) this.#parts.requests.settle(settlement)
    this.#parts.nodeLeases.committed(entry.index, nowMs)
    if (this.replicatedState.charterStamp !== charterBefore) this.#parts.nodeLeases.charterMade(entry.term, nowMs)
  }

  /** The table changed. */
  #followTable(nowMs: number): void {
    this.#parts.cluster.followTable(nowMs)
    this.#parts.schedulerRole.followTable(nowMs)
    this.#context.sendAll(this.#parts.relay.push(this.replicatedState.copy, nowMs))
  }

  /** Takes note of whether this node leads, and of who does. */
  #followLeader(nowMs: number): void {
    const context = this.#context
    const leads = this.raft.phase === 'leader'
    if (leads && !context.leading) this.#beginLeading(nowMs)
    else if (!leads && !context.leading && this.raft.leader !== '') context.leaderAddress = context.addressOf(this.raft.leader)
    context.leading = leads
    if (this.raft.leader === '' && !leads) context.leaderAddress = ''
    if (leads && this.raft.settled) this.#parts.nodeLeases.settled(nowMs)
  }

  #beginLeading(nowMs: number): void {
    this.#parts.nodeLeases.begin(nowMs)
    this.#parts.serverList.begin()
    this.#parts.schedulerLeases.begin()
    this.#parts.schedulerRole.beginLeading()
    this.#parts.membership.begin()
    this.#context.leaderAddress = this.#context.plan.address
  }
}
