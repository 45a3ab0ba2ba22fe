/**
 * Hands leadership over to a voter that holds all that the leader holds. Meanwhile nothing new is taken into the log, for
 * an election's time at most: an entry that reached the others before the heir's request for their votes would cost it
 * the election.
 *
 * Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 3.10.
 */
import type { Timings } from '../common/Timings.js'
import type { LeaderReplication } from './LeaderReplication.js'
import type { Member } from './Member.js'
import type { RaftState } from './RaftState.js'

export class LeadershipTransfer {
  readonly #state: RaftState
  readonly #replication: LeaderReplication
  readonly #timings: Timings
  #handedOverMs = -Infinity
  #takesNothingUntilMs = -Infinity

  constructor(state: RaftState, replication: LeaderReplication, timings: Timings) {
    this.#state = state
    this.#replication = replication
    this.#timings = timings
  }

  /** True once a voter was asked to take over; the request may arrive late. */
  get handedOver(): boolean {
    return this.#handedOverMs > -Infinity
  }

  /** True while nothing new is taken into the log. */
  takesNothing(nowMs: number): boolean {
    return nowMs < this.#takesNothingUntilMs
  }

  /** A new leader hands nothing over. */
  begin(): void {
    this.#handedOverMs = -Infinity
    this.#takesNothingUntilMs = -Infinity
  }

  /** To be called again until another leads. */
  request(nowMs: number): void {
    const { electionMs } = this.#timings
    if (this.#state.phase !== 'leader') return
    if (!this.takesNothing(nowMs)) this.#takesNothingUntilMs = nowMs + electionMs
    if (nowMs - this.#handedOverMs < electionMs) return
    const heir = this.#findHeir(nowMs)
    if (heir !== undefined) this.#handOver(heir, nowMs)
  }

  /** A voter that was heard lately and holds the whole log. */
  #findHeir(nowMs: number): Member | undefined {
    const { voters, identity, log } = this.#state
    return voters
      .filter((one) => one.identity !== identity && this.#replication.heardLately(one.identity, nowMs))
      .find((one) => this.#replication.matchOf(one.identity) === log.lastIndex)
  }

  #handOver(heir: Member, nowMs: number): void {
    const { identity, term } = this.#state
    this.#handedOverMs = nowMs
    this.#state.say(`Hands leadership over to ${heir.seat}.`)
    this.#state.send(heir.identity, { kind: 'timeoutNow', to: heir.identity, from: identity, term })
  }
}
