/**
 * Log replication by the leader: it sends entries, heartbeats and snapshots to the other members, and commits what a
 * majority holds of its own term. It steps down when its disk stalls or a majority falls silent.
 *
 * Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), section 5.3 and 5.4; Ongaro,
 * "Consensus: Bridging Theory and Practice" (2014), section 6.2 (check-quorum) and 6.4 (read-index).
 */
import type { Timings } from '../common/Timings.js'
import type { Message } from '../transport/Message.js'
import type { Entry } from './Entry.js'
import type { HeartbeatRounds } from './HeartbeatRounds.js'
import type { LeaderContact } from './LeaderContact.js'
import type { RaftState } from './RaftState.js'
import type { RaftStorage } from './RaftStorage.js'
import { ReplicaProgress } from './ReplicaProgress.js'
import type { Snapshot } from './Snapshot.js'

type AppendReply = Extract<Message, { kind: 'appendReply' }>
type SnapshotReply = Extract<Message, { kind: 'snapshotReply' }>

/** 150 ms on a link of 7 Mbit/s: less than a follower waits for its leader. */
const batchBytes = 128 * 1024
const noBytes = new Uint8Array()

export class LeaderReplication {
  readonly #state: RaftState
  readonly #storage: RaftStorage
  readonly #contact: LeaderContact
  readonly #rounds: HeartbeatRounds
  readonly #timings: Timings
  #replicas = new Map<string, ReplicaProgress>()
  #heartbeatAtMs = 0

  constructor(state: RaftState, storage: RaftStorage, contact: LeaderContact, rounds: HeartbeatRounds, timings: Timings) {
    this.#state = state
    this.#storage = storage
    this.#contact = contact
    this.#rounds = rounds
    this.#timings = timings
  }

  /** The highest index that a member surely has on disk; 0 while that is not known. */
  matchOf(identity: string): number {
    return this.#replicas.get(identity)?.match ?? 0
  }

  /** When a member was last heard. */
  heardMs(identity: string): number {
    return this.#replicas.get(identity)?.heardMs ?? -Infinity
  }

  heardLately(identity: string, nowMs: number): boolean {
    return nowMs - this.heardMs(identity) < this.#timings.electionMs
  }

  /** This member was elected: it takes an empty entry of its own term into the log. */
  begin(nowMs: number): void {
    const state = this.#state
    state.phase = 'leader'
    state.leader = state.identity
    this.#rounds.begin()
    this.#replicas = new Map(state.members.map((one) => [one.identity, this.#newReplica(nowMs)]))
    this.#creditLastLeader()
    state.say(`Leads the core in term ${String(state.term)}.`)
    this.propose('noop', noBytes, nowMs)
  }

  #newReplica(nowMs: number): ReplicaProgress {
    return new ReplicaProgress(this.#state.log.lastIndex + 1, nowMs)
  }

  /** The leader before this one counts as heard when it was heard, not when this one was elected. */
  #creditLastLeader(): void {
    const { lastLeader, heardMs } = this.#contact
    const replica = this.#replicas.get(lastLeader)
    if (replica !== undefined && lastLeader !== this.#state.identity) replica.heardMs = heardMs
  }

  tick(nowMs: number): void {
    if (this.#storage.stalled(nowMs)) this.#contact.stepDown(nowMs, 'The disk stalled; stepped down.')
    else if (!this.#hearsMajority(nowMs)) this.#contact.stepDown(nowMs, 'Lost touch with a majority; stepped down.')
    else if (nowMs >= this.#heartbeatAtMs) this.broadcast(nowMs)
  }

  #hearsMajority(nowMs: number): boolean {
    const { voters, identity } = this.#state
    const heard = voters.filter((one) => one.identity === identity || this.heardLately(one.identity, nowMs))
    return heard.length * 2 > voters.length
  }

  /** Takes an entry into the log and sends it out; gives its index. */
  propose(type: Entry['type'], bytes: Uint8Array, nowMs: number): number {
    const { log, term } = this.#state
    const index = log.lastIndex + 1
    this.#storage.append([{ index, term, type, bytes }], [], nowMs)
    this.#trackMembers(nowMs)
    this.broadcast(nowMs)
    return index
  }

  /** Members that joined are followed from now on, and those that left no longer. */
  #trackMembers(nowMs: number): void {
    const members = new Set(this.#state.members.map((one) => one.identity))
    for (const identity of this.#replicas.keys()) if (!members.has(identity)) this.#replicas.delete(identity)
    for (const identity of members) if (!this.#replicas.has(identity)) this.#replicas.set(identity, this.#newReplica(nowMs))
  }

  /** Sends a round of heartbeats, with the entries that members lack. */
  broadcast(nowMs: number): void {
    this.#rounds.send(nowMs)
    this.#heartbeatAtMs = nowMs + this.#timings.heartbeatMs
    for (const { identity } of this.#state.members) if (identity !== this.#state.identity) this.#feed(identity, nowMs, true)
    this.advance(nowMs)
  }

  /** Sends a member what it lacks; as a heartbeat also where it lacks nothing. */
  #feed(to: string, nowMs: number, heartbeat: boolean): void {
    const replica = this.#replicas.get(to)
    if (replica === undefined) return
    const { log, commit } = this.#state
    const transfer = replica.transferOf(log.snapshot, this.#timings.electionMs)
    if (transfer !== undefined) {
      const chunk = transfer.due(nowMs)
      if (chunk !== undefined) this.#sendChunk(to, transfer.snapshot, chunk)
      if (heartbeat) this.#sendEntries(to, 0, [], 0)
      return
    }
    const entries = replica.mayTakeEntries ? log.batch(replica.next, batchBytes) : []
    if (entries.length === 0 && !heartbeat) return
    this.#sendEntries(to, replica.next - 1, entries, commit)
    replica.sent(entries.length)
  }

  #sendEntries(to: string, prevIndex: number, entries: Entry[], commit: number): void {
    const { identity, term, log } = this.#state
    const prevTerm = log.termAt(prevIndex)
    const round = this.#rounds.newest
    this.#state.send(to, { kind: 'appendEntries', to, from: identity, term, round, prevIndex, prevTerm, commit, entries })
  }

  #sendChunk(to: string, snapshot: Snapshot, chunk: { offset: number; bytes: Uint8Array }): void {
    const { identity, term } = this.#state
    this.#state.send(to, {
      kind: 'installSnapshot',
      to,
      from: identity,
      term,
      round: this.#rounds.newest,
      index: snapshot.index,
      lastTerm: snapshot.term,
      members: JSON.stringify(snapshot.members),
      state: chunk.bytes,
      offset: chunk.offset,
      totalBytes: snapshot.state.length,
    })
  }

  onAppendReply(reply: AppendReply, nowMs: number): void {
    if (reply.term > this.#state.term) {
      this.#contact.follow(reply.term, '', nowMs)
      return
    }
    const replica = this.#hear(reply, nowMs)
    if (replica === undefined) return
    if (reply.ok) replica.accepted(reply.match)
    else replica.rejected(reply.match)
    if (replica.next <= this.#state.log.lastIndex) this.#feed(reply.from, nowMs, false)
    this.advance(nowMs)
  }

  onSnapshotReply(reply: SnapshotReply, nowMs: number): void {
    const replica = this.#hear(reply, nowMs)
    if (replica === undefined) return
    if (replica.transfer?.snapshot.index === reply.index) {
      replica.transfer.received(reply.receivedBytes)
      this.#feed(reply.from, nowMs, false)
    }
    this.advance(nowMs)
  }

  /** A reply to this leader came from a member; gives that member's progress. */
  #hear({ from, term, round }: AppendReply | SnapshotReply, nowMs: number): ReplicaProgress | undefined {
    const replica = this.#replicas.get(from)
    if (this.#state.phase !== 'leader' || term !== this.#state.term || replica === undefined) return undefined
    replica.heardMs = nowMs
    replica.round = Math.max(replica.round, round)
    return replica
  }

  /** The leader's own log is synced up to an index. */
  ownLogSynced(index: number, nowMs: number): void {
    const own = this.#replicas.get(this.#state.identity)
    if (own !== undefined) own.match = Math.max(own.match, index)
    this.advance(nowMs)
  }

  /** Commits what a majority holds, and answers the reads that a majority confirmed. */
  advance(nowMs: number): void {
    if (this.#state.phase !== 'leader') return
    const round = this.#majority((replica) => replica.round, this.#rounds.newest)
    this.#rounds.confirm(round)
    const match = this.#majority((replica) => replica.match)
    const { commit, log, term } = this.#state
    if (match > commit && log.termAt(match) === term) {
      this.#state.commitTo(match)
      if (this.#hasLeft) {
        this.#contact.stepDown(nowMs, 'Left the core; stepped down.')
        return
      }
      this.#heartbeatAtMs = nowMs
    }
    this.#state.output.readable.push(...this.#rounds.readable(round, this.#state.applied))
  }

  /** True once a change is committed that takes this member's vote. */
  get #hasLeft(): boolean {
    const { voters, identity, changing } = this.#state
    return !voters.some((one) => one.identity === identity) && !changing
  }

  /** The highest value that a majority of the voters has reached. */
  #majority(value: (replica: ReplicaProgress) => number, own?: number): number {
    const { voters, identity } = this.#state
    const values = voters.map((one) => {
      if (one.identity === identity && own !== undefined) return own
      const replica = this.#replicas.get(one.identity)
      return replica === undefined ? 0 : value(replica)
    })
    return values.sort((a, b) => b - a)[Math.floor(voters.length / 2)] ?? 0
  }
}
