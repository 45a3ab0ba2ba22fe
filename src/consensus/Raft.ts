/**
 * Raft as published, for the core: leader election with a pre-vote, log replication, check-quorum,
 * an empty entry at the start of each term, reads by read-index, snapshots in chunks, leadership transfer, and
 * membership changes one at a time. Pure: it is told the time, what arrived and what was synced, and collects
 * what is to be sent and written. No vote and no acceptance leaves before the record is synced.
 *
 * Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro, "Consensus: Bridging
 * Theory and Practice" (2014), chapters 3, 4, 6.4 and 9.6.
 */
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import type { Message } from '../transport/Message.js'
import { Election } from './Election.js'
import { FollowerReplication } from './FollowerReplication.js'
import { HeartbeatRounds } from './HeartbeatRounds.js'
import { LeaderContact } from './LeaderContact.js'
import { LeaderReplication } from './LeaderReplication.js'
import { LeadershipTransfer } from './LeadershipTransfer.js'
import type { Member } from './Member.js'
import type { RaftOutput } from './RaftOutput.js'
import { RaftState } from './RaftState.js'
import { RaftStorage } from './RaftStorage.js'

const identityPartLimit = 2 ** 32

export class Raft {
  readonly #state = new RaftState()
  readonly #rounds = new HeartbeatRounds()
  readonly #timings: Timings
  readonly #storage: RaftStorage
  readonly #contact: LeaderContact
  readonly #election: Election
  readonly #leaderReplication: LeaderReplication
  readonly #followerReplication: FollowerReplication
  readonly #transfer: LeadershipTransfer

  /** `foundingSeeds`: of an empty disk, the seeds among which this member may found a core; it holds for later starts too. */
  constructor(
    seat: string,
    timings: Timings,
    random: Random,
    disk: readonly Uint8Array[],
    nowMs: number,
    foundingSeeds: readonly string[] = [],
  ) {
    const state = this.#state
    this.#timings = timings
    this.#storage = new RaftStorage(state, timings)
    this.#contact = new LeaderContact(state, this.#storage, this.#rounds, timings, random)
    this.#leaderReplication = new LeaderReplication(state, this.#storage, this.#contact, this.#rounds, timings)
    this.#followerReplication = new FollowerReplication(state, this.#storage, this.#contact)
    this.#transfer = new LeadershipTransfer(state, this.#leaderReplication, timings)
    this.#election = new Election(state, this.#storage, this.#contact, (wonMs) => {
      this.#transfer.begin()
      this.#leaderReplication.begin(wonMs)
    })
    this.#storage.restore(disk)
    if (state.identity === '') {
      state.identity = Raft.#newIdentity(seat, random)
      this.#storage.writeFirst(foundingSeeds, nowMs)
    }
    this.#contact.resetElectionTimer(nowMs)
    this.#contact.resume(nowMs)
    const { snapshot } = state.log
    if (snapshot.index > 0) state.adopt(snapshot.index, snapshot.state)
  }

  static #newIdentity(seat: string, random: Random): string {
    const part = () => random.below(identityPartLimit).toString(16)
    return `${seat}.${part()}${part()}`
  }

  get identity(): string {
    return this.#state.identity
  }

  /** The system that this disk belongs to, once it is known. */
  get system(): string {
    return this.#state.system
  }

  get term(): number {
    return this.#state.term
  }

  get phase(): RaftState['phase'] {
    return this.#state.phase
  }

  /** The identity of the leader; empty while none is known. */
  get leader(): string {
    return this.#state.leader
  }

  get commit(): number {
    return this.#state.commit
  }

  set commit(index: number) {
    this.#state.commit = index
  }

  get lastIndex(): number {
    return this.#state.log.lastIndex
  }

  get members(): readonly Member[] {
    return this.#state.members
  }

  get empty(): boolean {
    return this.term === 0 && this.lastIndex === 0
  }

  /** How long a write took to be synced of late. */
  get syncMs(): number {
    return this.#storage.syncMs
  }

  /** True once the identity is on disk: before that nobody may be told of it, for it may be lost. */
  get identitySynced(): boolean {
    return this.#storage.identitySynced
  }

  /** The seeds among which this member may found a core; none, if it may not. */
  get foundingSeeds(): readonly string[] {
    return this.#storage.foundingSeeds
  }

  /**
   * True while no other leader can have been at work: a majority confirmed this one lately enough. Never again once it
   * handed over, for the request to take over may arrive late.
   */
  surelyLeads(nowMs: number): boolean {
    return this.phase === 'leader' && !this.#transfer.handedOver && nowMs - this.#rounds.confirmedMs < this.#timings.electionMs
  }

  /** True once an entry of this leader's own term is committed. */
  get settled(): boolean {
    return this.#state.settled
  }

  /** True while a change of the members is not committed. */
  get changing(): boolean {
    return this.#state.changing
  }

  /** True of a member that holds all that is committed. */
  caughtUp(identity: string): boolean {
    return this.#leaderReplication.matchOf(identity) >= this.commit
  }

  /** When the leader last heard a member. */
  heardMs(identity: string): number {
    return this.#leaderReplication.heardMs(identity)
  }

  /** Hands leadership over; to be called again until another leads. */
  transferLeadership(nowMs: number): void {
    this.#transfer.request(nowMs)
  }

  /** Gives what is to be sent, written and applied, once. */
  take(): RaftOutput {
    return this.#state.takeOutput()
  }

  /** Founds a core of these members, where the disk is empty. */
  found(members: Member[], nowMs: number): void {
    if (!this.empty) return
    const state = this.#state
    state.term = 1
    state.votedFor = state.identity
    this.#storage.writeTerm([], nowMs)
    this.#storage.append([{ index: 1, term: 1, type: 'members', bytes: Buffer.from(JSON.stringify(members)) }], [], nowMs)
    this.#contact.endElectionTimer(nowMs)
    state.say('Founded a new core.')
  }

  /** Writes down which system this disk belongs to. */
  belong(system: string, nowMs: number): void {
    if (system === this.system) return
    this.#state.system = system
    this.#storage.writeIdentity(nowMs)
  }

  /** Takes a command into the log, if this member leads; gives its index. */
  propose(bytes: Uint8Array, nowMs: number): number | undefined {
    if (this.phase !== 'leader' || this.#transfer.takesNothing(nowMs)) return undefined
    return this.#leaderReplication.propose('command', bytes, nowMs)
  }

  /** Puts a change of the members to the log; false if that may not be now. */
  changeMembers(members: Member[], nowMs: number): boolean {
    if (!this.settled || this.changing || this.#transfer.takesNothing(nowMs)) return false
    this.#leaderReplication.propose('members', Buffer.from(JSON.stringify(members)), nowMs)
    return true
  }

  /** A read waits until a majority has confirmed that this member still leads. */
  read(id: string, nowMs: number): void {
    if (!this.settled) {
      this.#state.output.lostReads.push(id)
      return
    }
    this.#leaderReplication.broadcast(nowMs)
    this.#rounds.wait(id, this.commit)
    this.#leaderReplication.advance(nowMs)
  }

  /** The oldest write that was asked for is synced. */
  written(nowMs: number): void {
    const write = this.#storage.synced(nowMs)
    if (write === undefined || write.term !== this.term) return
    if (this.phase === 'candidate') this.#election.ownVoteSynced(nowMs)
    else if (this.phase === 'leader') this.#leaderReplication.ownLogSynced(write.index, nowMs)
  }

  /** Puts a snapshot in the place of the entries up to an index that was applied. */
  compact(index: number, state: Uint8Array, nowMs: number): void {
    const { log, applied } = this.#state
    if (index <= log.snapshot.index || index > applied) return
    log.compact(index, state)
    this.#storage.rewrite([], nowMs)
  }

  tick(nowMs: number): void {
    if (this.phase === 'leader') this.#leaderReplication.tick(nowMs)
    else this.#election.tick(nowMs)
  }

  receive(message: Message, nowMs: number): void {
    if ('to' in message && message.to !== this.identity) return
    switch (message.kind) {
      case 'requestVote':
        this.#election.onRequest(message, nowMs)
        break
      case 'voteReply':
        this.#election.onReply(message, nowMs)
        break
      case 'appendEntries':
        this.#followerReplication.onAppend(message, nowMs)
        break
      case 'appendReply':
        this.#leaderReplication.onAppendReply(message, nowMs)
        break
      case 'installSnapshot':
        this.#followerReplication.onSnapshot(message, nowMs)
        break
      case 'snapshotReply':
        this.#leaderReplication.onSnapshotReply(message, nowMs)
        break
      case 'timeoutNow':
        this.#election.onTakeOver(message, nowMs)
        break
      default:
    }
  }
}
