/**
 * The placement scheduler's role on this node: the node stands for the vacant role, runs the scheduler while the
 * replicated table names this life of it as the holder, and lets it issue orders only under a lease of the leader.
 *
 * In a network the leader itself takes the role; elsewhere the voters elect one of themselves, and the log has the last
 * word, since a vacancy can be filled only once.
 */
import type { Random } from '../common/Random.js'
import { Ballots } from '../consensus/Ballots.js'
import { Dispatcher } from '../placement/Dispatcher.js'
import type { Message } from '../transport/Message.js'
import type { ControlContext } from './ControlContext.js'
import { schedulerDuty } from './schedulerDuty.js'
import type { SchedulerLeases } from './SchedulerLeases.js'

type VoteRequest = Extract<Message, { kind: 'stand' }>
type Vote = Extract<Message, { kind: 'ballot' }>
type Lease = Extract<Message, { kind: 'dutyLease' }>
type LoadReport = Extract<Message, { kind: 'tally' }>

const renewalsALease = 6
/** A node that heard no servers leaves the role to others for so many leases. */
const standsAsideLeases = 4

export class SchedulerRole {
  readonly #context: ControlContext
  readonly #leases: SchedulerLeases
  readonly #votes: Ballots
  #scheduler: Dispatcher | undefined
  /** When the newest lease was asked for that the leader granted. */
  #leasedMs = -Infinity
  #renewedMs = -Infinity
  #standsFromMs = -Infinity
  #leaderStandsAtMs = -Infinity
  #vacateAtMs = -Infinity

  constructor(context: ControlContext, leases: SchedulerLeases, random: Random) {
    this.#context = context
    this.#leases = leases
    this.#votes = new Ballots(context.plan.name, context.timings, random)
  }

  /** The scheduler, while this node holds the role. */
  get scheduler(): Dispatcher | undefined {
    return this.#scheduler
  }

  /** This node leads from now on. */
  beginLeading(): void {
    this.#leaderStandsAtMs = -Infinity
  }

  /** Takes the role up or gives it up, as the replicated table says. */
  followTable(nowMs: number): void {
    const { replicatedState, plan, timings, life } = this.#context
    const duty = replicatedState.duty(schedulerDuty)
    const isMine = duty?.holder === plan.name && duty.address === life
    if (isMine && this.#scheduler?.epoch !== duty.epoch) {
      this.#scheduler = new Dispatcher(timings, duty.epoch, duty.vacancy === 0, plan.policy, nowMs)
      this.#leasedMs = -Infinity
      this.#renewedMs = -Infinity
      this.#context.say('dispatcher', `Holds the duty in epoch ${String(duty.epoch)}.`)
    } else if (!isMine && this.#scheduler !== undefined) {
      this.#scheduler = undefined
      this.#context.say('dispatcher', 'Gave up the duty.')
    }
  }

  tick(hour: number, nowMs: number): void {
    if (this.#context.isNetwork) this.#standAsLeader(nowMs)
    else this.#standAsVoter(nowMs)
    if (this.#scheduler !== undefined) this.#schedule(this.#scheduler, hour, nowMs)
  }

  // The election.

  /** In a network the leader alone schedules; the log has the last word, so it needs no votes. */
  #standAsLeader(nowMs: number): void {
    const { leading, raft, timings } = this.#context
    if (!leading || !raft.settled || nowMs < this.#leaderStandsAtMs || !this.#isVacant) return
    this.#leaderStandsAtMs = nowMs + timings.electionMs
    this.#claim(this.#vacancy, nowMs)
  }

  #standAsVoter(nowMs: number): void {
    const { raft } = this.#context
    const isVoter = raft.members.some((one) => one.identity === raft.identity && one.voter)
    const stands = nowMs >= this.#standsFromMs && isVoter && raft.leader !== '' && this.#isVacant
    const vacancy = this.#vacancy
    const round = this.#votes.tick(stands ? vacancy : undefined, nowMs)
    if (round === undefined) return
    for (const { identity } of raft.members) {
      if (identity === raft.identity) continue
      this.#context.send(this.#context.addressOf(identity), { kind: 'stand', duty: schedulerDuty, vacancy, round })
    }
    if (raft.members.length === 1) this.#claim(vacancy, nowMs)
  }

  get #isVacant(): boolean {
    return this.#context.replicatedState.duty(schedulerDuty) === undefined
  }

  /** The revision that left the role vacant. */
  get #vacancy(): number {
    return this.#context.replicatedState.copy.stampOf(`duty/${schedulerDuty}`)
  }

  /** Another node stands for a role. */
  onVoteRequest(from: string, fromAddress: string, { duty, vacancy, round }: VoteRequest, nowMs: number): void {
    const isVacant = this.#context.replicatedState.duty(duty) === undefined
    const given = isVacant && this.#votes.give(vacancy, round, from, nowMs)
    this.#context.send(fromAddress, { kind: 'ballot', duty, vacancy, round, given })
  }

  onVote(from: string, { given, vacancy, round }: Vote, nowMs: number): void {
    if (!given) return
    const voters = this.#context.raft.members.filter((one) => one.voter).length
    if (this.#votes.count(vacancy, round, from, voters)) this.#claim(vacancy, nowMs)
  }

  #claim(vacancy: number, nowMs: number): void {
    const { plan, life } = this.#context
    this.#context.propose({ kind: 'duty', duty: schedulerDuty, vacancy, holder: plan.name, address: life }, nowMs)
  }

  // The lease.

  onLease({ epoch, sentMs }: Lease): void {
    if (this.#scheduler?.epoch === epoch) this.#leasedMs = Math.max(this.#leasedMs, sentMs)
  }

  #isLeased(nowMs: number): boolean {
    return nowMs - this.#leasedMs < this.#context.timings.dutyLeaseMs
  }

  #renewLease(epoch: number, nowMs: number): void {
    const { timings, leading, leaderAddress } = this.#context
    if (nowMs - this.#renewedMs < timings.dutyLeaseMs / renewalsALease) return
    this.#renewedMs = nowMs
    if (!leading) this.#context.send(leaderAddress, { kind: 'dutyRenew', duty: schedulerDuty, epoch, sentMs: nowMs })
    else if (this.#leases.renew(schedulerDuty, epoch, nowMs)) this.#leasedMs = nowMs
  }

  // The work.

  #schedule(scheduler: Dispatcher, hour: number, nowMs: number): void {
    const { isNetwork, leading, replicatedState } = this.#context
    const { epoch } = scheduler
    if (isNetwork && !leading) {
      this.#vacateAfterLeading(epoch, nowMs)
      return
    }
    this.#renewLease(epoch, nowMs)
    const isLeased = this.#isLeased(nowMs)
    if (isLeased && !isNetwork && scheduler.deaf(nowMs)) this.#standAside(epoch, nowMs)
    const out = scheduler.tick(replicatedState.copy, isLeased, hour, nowMs)
    if (out.rows.length > 0) this.#context.propose({ kind: 'dispatch', epoch, rows: out.rows }, nowMs)
    for (const ask of out.asks) this.#context.emit({ kind: 'ask', ...ask, epoch, askedMs: nowMs })
    for (const order of out.orders) this.#context.emit({ kind: 'order', ...order })
    for (const sentence of out.says) this.#context.say('placement', sentence)
    for (const sentence of out.warns) this.#context.warn('placement', sentence)
  }

  /** In a network a node that lost the lead gives the role up. */
  #vacateAfterLeading(epoch: number, nowMs: number): void {
    if (nowMs < this.#vacateAtMs) return
    this.#vacateAtMs = nowMs + this.#context.timings.heartbeatMs
    this.#vacate(epoch, nowMs)
  }

  /** A scheduler that hears no servers leaves the role to another control node, and does not stand for a while. */
  #standAside(epoch: number, nowMs: number): void {
    if (nowMs < this.#standsFromMs) return
    this.#standsFromMs = nowMs + standsAsideLeases * this.#context.timings.dutyLeaseMs
    this.#context.say('dispatcher', 'Hears no servers; leaves the duty to another core machine.')
    this.#vacate(epoch, nowMs)
  }

  #vacate(epoch: number, nowMs: number): void {
    this.#context.propose({ kind: 'vacate', duty: schedulerDuty, epoch }, nowMs)
  }

  /** A data-plane node tells of its load; it is told when the models can be served that its requests wait for. */
  onLoadReport(fromAddress: string, { seat, session, adopted, held, flights, arrivals }: LoadReport, nowMs: number): void {
    const scheduler = this.#scheduler
    if (scheduler === undefined) return
    scheduler.tally(seat, { session, adopted, held, flights }, arrivals, nowMs)
    if (held.length === 0 || !this.#isLeased(nowMs)) return
    this.#context.send(fromAddress, { kind: 'outlook', models: scheduler.outlook(held, nowMs) })
  }
}
