/**
 * A Raft member's relation to its leader: the return to the role of a follower, when the leader was last heard, and the
 * election timer, which runs out at a random time after that.
 */
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import type { HeartbeatRounds } from './HeartbeatRounds.js'
import type { RaftState } from './RaftState.js'
import type { RaftStorage } from './RaftStorage.js'

export class LeaderContact {
  readonly #state: RaftState
  readonly #storage: RaftStorage
  readonly #rounds: HeartbeatRounds
  readonly #timings: Timings
  readonly #random: Random
  #electionAtMs = Infinity
  #heardMs = -Infinity
  #lastLeader = ''

  constructor(state: RaftState, storage: RaftStorage, rounds: HeartbeatRounds, timings: Timings, random: Random) {
    this.#state = state
    this.#storage = storage
    this.#rounds = rounds
    this.#timings = timings
    this.#random = random
  }

  /** Whom this member followed last. */
  get lastLeader(): string {
    return this.#lastLeader
  }

  /** When a leader was last heard. */
  get heardMs(): number {
    return this.#heardMs
  }

  /** True of a leader, and of a member that heard one within an election's time: it gives no vote to another. */
  hasLeader(nowMs: number): boolean {
    return this.#state.phase === 'leader' || nowMs - this.#heardMs < this.#timings.electionMs
  }

  /** True once the election timer has run out. */
  electionDue(nowMs: number): boolean {
    return nowMs >= this.#electionAtMs
  }

  /** Lets the election timer run out now. */
  endElectionTimer(nowMs: number): void {
    this.#electionAtMs = nowMs
  }

  resetElectionTimer(nowMs: number): void {
    const { electionMs, electionSpreadMs } = this.#timings
    this.#electionAtMs = nowMs + electionMs + this.#random.next() * electionSpreadMs
  }

  /** A member that restarts may have confirmed a leader just before it went down: it keeps to that as if it had heard it now. */
  resume(nowMs: number): void {
    if (this.#state.term > 0) this.#heardMs = nowMs
  }

  /** The leader of a term was heard. */
  hear(term: number, leader: string, nowMs: number): void {
    const { phase } = this.#state
    if (term > this.#state.term || phase !== 'follower' || this.#state.leader !== leader) this.follow(term, leader, nowMs)
    this.#heardMs = nowMs
    this.resetElectionTimer(nowMs)
  }

  /** Becomes a follower, in a newer term or in its own; the leader may be unknown. */
  follow(term: number, leader: string, nowMs: number, reason?: string): void {
    const state = this.#state
    if (reason !== undefined) state.say(reason)
    if (term > state.term) {
      state.term = term
      state.votedFor = ''
      this.#storage.writeTerm([], nowMs)
    }
    if (state.phase !== 'follower') this.resetElectionTimer(nowMs)
    state.phase = 'follower'
    state.leader = leader
    if (leader !== '') this.#lastLeader = leader
    state.output.lostReads.push(...this.#rounds.dropReads())
  }

  /** A leader gives up its lead. */
  stepDown(nowMs: number, reason: string): void {
    this.follow(this.#state.term, '', nowMs, reason)
  }
}
