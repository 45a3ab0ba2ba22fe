/**
 * Elections and votes of a Raft member. A candidate first asks for a pre-vote, which changes no terms; a leader that hands
 * over lets its heir ask for votes at once. No vote leaves before the record of it is synced.
 *
 * Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), section 5.2 and 5.4; Ongaro,
 * "Consensus: Bridging Theory and Practice" (2014), section 9.6 (pre-vote) and 3.10 (leadership transfer).
 */
import type { Message } from '../transport/Message.js'
import type { LeaderContact } from './LeaderContact.js'
import type { Member } from './Member.js'
import type { RaftState } from './RaftState.js'
import type { RaftStorage } from './RaftStorage.js'

type VoteRequest = Extract<Message, { kind: 'requestVote' }>
type VoteReply = Extract<Message, { kind: 'voteReply' }>
type TakeOver = Extract<Message, { kind: 'timeoutNow' }>

export class Election {
  readonly #state: RaftState
  readonly #storage: RaftStorage
  readonly #contact: LeaderContact
  readonly #won: (nowMs: number) => void
  /** Who gave this candidate its vote. */
  #votes = new Set<string>()

  /** `won` is called when this member is elected leader. */
  constructor(state: RaftState, storage: RaftStorage, contact: LeaderContact, won: (nowMs: number) => void) {
    this.#state = state
    this.#storage = storage
    this.#contact = contact
    this.#won = won
  }

  /** A member that is no leader asks for pre-votes when its election timer runs out. */
  tick(nowMs: number): void {
    if (!this.#contact.electionDue(nowMs)) return
    this.#contact.resetElectionTimer(nowMs)
    if (this.#storage.stalled(nowMs) || !this.#mayStand) return
    const state = this.#state
    state.phase = 'preCandidate'
    state.leader = ''
    this.#votes = new Set([state.identity])
    for (const { to, message } of this.#requests(true, false)) state.send(to, message)
    this.#count(nowMs)
  }

  /** The leader hands over: an election without a pre-vote, which the others would not give beside a live leader. */
  onTakeOver(request: TakeOver, nowMs: number): void {
    const { term, phase } = this.#state
    if (request.term !== term || phase !== 'follower' || !this.#mayStand || this.#storage.stalled(nowMs)) return
    this.#contact.resetElectionTimer(nowMs)
    this.#campaign(nowMs, true)
  }

  /** A node that an uncommitted change takes the vote from may hold that change alone, and must stand so that it is committed. */
  get #mayStand(): boolean {
    const { members, changing, log, identity } = this.#state
    const hasVote = (among: readonly Member[]) => among.some((one) => one.voter && one.identity === identity)
    return hasVote(members) || (changing && hasVote(log.membersAt(log.membersIndex - 1)))
  }

  /** Stands in a new term, with its own vote first. */
  #campaign(nowMs: number, transfer: boolean): void {
    const state = this.#state
    state.phase = 'candidate'
    state.leader = ''
    state.term += 1
    state.votedFor = state.identity
    this.#votes = new Set()
    this.#storage.writeTerm(this.#requests(false, transfer), nowMs)
  }

  #requests(pre: boolean, transfer: boolean): { to: string; message: VoteRequest }[] {
    const { identity, term, log, voters } = this.#state
    const { lastIndex, lastTerm } = log
    const request = { kind: 'requestVote' as const, from: identity, term: pre ? term + 1 : term, lastIndex, lastTerm, pre, transfer }
    return voters.filter((one) => one.identity !== identity).map((one) => ({ to: one.identity, message: { ...request, to: one.identity } }))
  }

  /** The candidate's own vote counts once it is synced. */
  ownVoteSynced(nowMs: number): void {
    this.#votes.add(this.#state.identity)
    this.#count(nowMs)
  }

  #count(nowMs: number): void {
    const { voters, phase } = this.#state
    const given = voters.filter((one) => this.#votes.has(one.identity)).length
    if (given * 2 <= voters.length) return
    if (phase === 'preCandidate') this.#campaign(nowMs, false)
    else if (phase === 'candidate') this.#won(nowMs)
  }

  onRequest(request: VoteRequest, nowMs: number): void {
    if (request.pre) {
      this.#replyToPreVote(request, nowMs)
      return
    }
    const { term } = this.#state
    const isOrdered = request.transfer === true
    // A request that was long under way must not depose the leader that a majority has just confirmed.
    if (request.term > term && this.#contact.hasLeader(nowMs) && !isOrdered) {
      this.#state.send(request.from, this.#reply(request, term, false))
      return
    }
    this.#vote(request, nowMs)
  }

  #replyToPreVote(request: VoteRequest, nowMs: number): void {
    const { term } = this.#state
    const given = request.term > term && this.#isUpToDate(request) && !this.#contact.hasLeader(nowMs)
    this.#state.send(request.from, this.#reply(request, given ? request.term : term, given))
  }

  #vote(request: VoteRequest, nowMs: number): void {
    const state = this.#state
    if (request.term > state.term) this.#contact.follow(request.term, '', nowMs)
    const isFree = state.votedFor === '' || state.votedFor === request.from
    const given = request.term === state.term && this.#isUpToDate(request) && state.phase === 'follower' && isFree
    if (given) {
      state.votedFor = request.from
      this.#contact.resetElectionTimer(nowMs)
    }
    const reply = [{ to: request.from, message: this.#reply(request, state.term, given) }]
    if (given) this.#storage.writeTerm(reply, nowMs)
    else this.#storage.sendOnceSynced(reply, nowMs)
  }

  /** True if the candidate's log holds all that this member's log may have committed. */
  #isUpToDate(request: VoteRequest): boolean {
    const { lastTerm, lastIndex } = this.#state.log
    return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  }

  #reply(request: VoteRequest, term: number, given: boolean): VoteReply {
    return { kind: 'voteReply', to: request.from, from: this.#state.identity, pre: request.pre, term, given }
  }

  onReply(reply: VoteReply, nowMs: number): void {
    const { term } = this.#state
    if (!reply.given && reply.term > term) this.#contact.follow(reply.term, '', nowMs)
    else if (reply.given && this.#isOwn(reply)) {
      this.#votes.add(reply.from)
      this.#count(nowMs)
    }
  }

  /** True of a vote for the election that is under way. */
  #isOwn(reply: VoteReply): boolean {
    const { term, phase } = this.#state
    return reply.pre ? phase === 'preCandidate' && reply.term === term + 1 : phase === 'candidate' && reply.term === term
  }
}
