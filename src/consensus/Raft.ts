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
import { DiskRecord } from './DiskRecord.js'
import type { Entry } from './Entry.js'
import { HeartbeatRounds } from './HeartbeatRounds.js'
import type { Member } from './Member.js'
import type { RaftOutput } from './RaftOutput.js'
import { ReplicaProgress } from './ReplicaProgress.js'
import { ReplicatedLog } from './ReplicatedLog.js'
import type { Snapshot } from './Snapshot.js'
import { SnapshotReceiver } from './SnapshotReceiver.js'

/** 150 ms on a link of 7 Mbit/s: less than a follower waits for its leader. */
const batchBytes = 128 * 1024
const noBytes = new Uint8Array()

export class Raft {
  readonly identity: string
  /** The system that this disk belongs to, once it is known. */
  system = ''
  term = 0
  commit = 0
  leader = ''
  phase: 'follower' | 'preCandidate' | 'candidate' | 'leader' = 'follower'
  /** How long a write took to be synced of late. */
  syncMs = 0
  readonly #timings: Timings
  readonly #random: Random
  #votedFor = ''
  readonly #log = new ReplicatedLog()
  readonly #incoming = new SnapshotReceiver()
  #foundingSeeds: readonly string[] = []
  #identitySynced: boolean
  #applied = 0
  #electionAtMs: number
  #heardLeaderMs = -Infinity
  #votes = new Set<string>()
  #replicas = new Map<string, ReplicaProgress>()
  /** Whom this member followed last. */
  #lastLeader = ''
  #handedOverMs = -Infinity
  /** Until then this leader, which hands over, takes nothing into the log. */
  #takesNothingUntilMs = -Infinity
  readonly #rounds = new HeartbeatRounds()
  #beatAtMs = 0
  #outstanding: { index: number; term: number; atMs: number }[] = []
  #out: RaftOutput

  /** `foundingSeeds`: of an empty disk, the seeds among which this member may found a core; it holds for later starts too. */
  constructor(
    seat: string,
    timings: Timings,
    random: Random,
    disk: readonly Uint8Array[],
    nowMs: number,
    foundingSeeds: readonly string[] = [],
  ) {
    this.#timings = timings
    this.#random = random
    this.#out = Raft.#blank()
    const identity = this.#restore(disk)
    this.#identitySynced = identity !== ''
    this.identity = identity === '' ? `${seat}.${random.below(4294967296).toString(16)}${random.below(4294967296).toString(16)}` : identity
    if (identity === '') this.#firstStart(foundingSeeds, nowMs)
    this.#electionAtMs = nowMs + timings.electionMs + random.next() * timings.electionSpreadMs
    // It may have confirmed a leader just before it went down, and keeps to that as if it had heard it now.
    if (this.term > 0) this.#heardLeaderMs = nowMs
    const { index, state } = this.#log.snapshot
    if (index > 0) {
      this.#applied = index
      this.#out.adopted = { index, state }
    }
  }

  /** Reads the records of a disk; gives the identity, empty where there is none. */
  #restore(disk: readonly Uint8Array[]): string {
    let identity = ''
    for (const bytes of disk) {
      const record = DiskRecord.decode(bytes)
      if (record === undefined)
        throw new Error('a whole record on disk is not one of ours; this data folder belongs to another program or another release')
      switch (record.kind) {
        case 'identity':
          identity = record.identity
          this.system = record.system
          break
        case 'term':
          this.term = record.term
          this.#votedFor = record.ballot
          break
        case 'founding':
          this.#foundingSeeds = record.seeds
          break
        case 'snapshot':
          this.#log.install({
            index: record.index,
            term: record.term,
            members: ReplicatedLog.readMembers(record.members),
            state: record.state,
          })
          this.commit = record.index
          break
        case 'entry':
          this.#log.append([{ index: record.index, term: record.term, type: record.type, bytes: record.bytes }])
          break
      }
    }
    return identity
  }

  #firstStart(foundingSeeds: readonly string[], nowMs: number): void {
    this.#foundingSeeds = foundingSeeds
    const records = [this.#identityRecord()]
    if (foundingSeeds.length > 0) records.push(DiskRecord.encode({ kind: 'founding', seeds: [...foundingSeeds] }))
    this.#write(records, [], nowMs)
  }

  static #blank(): RaftOutput {
    return { sends: [], writes: [], applied: [], adopted: undefined, readable: [], lostReads: [], says: [] }
  }

  get empty(): boolean {
    return this.term === 0 && this.lastIndex === 0
  }

  get lastIndex(): number {
    return this.#log.lastIndex
  }

  get members(): readonly Member[] {
    return this.#log.members
  }

  /** True once the identity is on disk: before that nobody may be told of it, for it may be lost. */
  get identitySynced(): boolean {
    return this.#identitySynced
  }

  /** The seeds among which this member may found a core; none, if it may not. */
  get foundingSeeds(): readonly string[] {
    return this.#foundingSeeds
  }

  /**
   * True while no other leader can have been at work: a majority confirmed this one lately enough. Never again once it
   * handed over, for the request to take over may arrive late.
   */
  surelyLeads(nowMs: number): boolean {
    const handedOver = this.#handedOverMs > -Infinity
    return this.phase === 'leader' && !handedOver && nowMs - this.#rounds.confirmedMs < this.#timings.electionMs
  }

  /** True once an entry of this leader's own term is committed. */
  get settled(): boolean {
    return this.phase === 'leader' && this.#log.termAt(this.commit) === this.term
  }

  get changing(): boolean {
    return this.#log.membersIndex > this.commit
  }

  caughtUp(identity: string): boolean {
    return (this.#replicas.get(identity)?.match ?? 0) >= this.commit
  }

  heardMs(identity: string): number {
    return this.#replicas.get(identity)?.heardMs ?? -Infinity
  }

  /**
   * Hands leadership over to a voter as soon as it holds all that this leader holds; to be called again until another
   * leads. Meanwhile nothing new is taken into the log, for an election's time at most: an entry that reached the others
   * before the heir's request for their votes would cost it the election.
   */
  transferLeadership(nowMs: number): void {
    if (this.phase !== 'leader') return
    if (nowMs >= this.#takesNothingUntilMs) this.#takesNothingUntilMs = nowMs + this.#timings.electionMs
    if (nowMs - this.#handedOverMs < this.#timings.electionMs) return
    const heirs = this.#voters().filter(
      (one) => one.identity !== this.identity && nowMs - this.heardMs(one.identity) < this.#timings.electionMs,
    )
    const heir = heirs.find((one) => this.#replicas.get(one.identity)?.match === this.lastIndex)
    if (heir === undefined) return
    this.#handedOverMs = nowMs
    this.#out.says.push(`Hands leadership over to ${heir.seat}.`)
    this.#out.sends.push({ to: heir.identity, message: { kind: 'timeoutNow', to: heir.identity, from: this.identity, term: this.term } })
  }

  take(): RaftOutput {
    const out = this.#out
    this.#out = Raft.#blank()
    return out
  }

  found(members: Member[], nowMs: number): void {
    if (!this.empty) return
    this.term = 1
    this.#votedFor = this.identity
    this.#write([this.#termRecord()], [], nowMs)
    this.#add([{ index: 1, term: 1, type: 'members', bytes: Buffer.from(JSON.stringify(members)) }], [], nowMs)
    this.#electionAtMs = nowMs
    this.#out.says.push('Founded a new core.')
  }

  /** Writes down which system this disk belongs to. */
  belong(system: string, nowMs: number): void {
    if (system === this.system) return
    this.system = system
    this.#write([this.#identityRecord()], [], nowMs)
  }

  propose(bytes: Uint8Array, nowMs: number): number | undefined {
    if (this.phase !== 'leader' || nowMs < this.#takesNothingUntilMs) return undefined
    return this.#lead('command', bytes, nowMs)
  }

  changeMembers(members: Member[], nowMs: number): boolean {
    if (!this.settled || this.changing || nowMs < this.#takesNothingUntilMs) return false
    this.#lead('members', Buffer.from(JSON.stringify(members)), nowMs)
    return true
  }

  read(id: string, nowMs: number): void {
    if (!this.settled) {
      this.#out.lostReads.push(id)
      return
    }
    this.#broadcast(nowMs)
    this.#rounds.wait(id, this.commit)
    this.#advance(nowMs)
  }

  written(nowMs: number): void {
    const done = this.#outstanding.shift()
    this.#identitySynced = true
    if (done !== undefined) this.syncMs += 0.1 * (nowMs - done.atMs - this.syncMs)
    if (done === undefined || done.term !== this.term) return
    if (this.phase === 'candidate') {
      // Its own vote counts once it is synced.
      this.#votes.add(this.identity)
      this.#count(nowMs)
      return
    }
    if (this.phase !== 'leader') return
    const own = this.#replicas.get(this.identity)
    if (own !== undefined) own.match = Math.max(own.match, done.index)
    this.#advance(nowMs)
  }

  compact(index: number, state: Uint8Array, nowMs: number): void {
    if (index <= this.#log.snapshot.index || index > this.#applied) return
    this.#log.compact(index, state)
    this.#rewrite([], nowMs)
  }

  tick(nowMs: number): void {
    const stalled = this.#stalled(nowMs)
    if (this.phase === 'leader') {
      const voters = this.#voters()
      const heard = voters.filter((one) => one.identity === this.identity || nowMs - this.heardMs(one.identity) < this.#timings.electionMs)
      if (stalled) this.#follow(this.term, '', nowMs, 'The disk stalled; stepped down.')
      else if (heard.length * 2 <= voters.length) this.#follow(this.term, '', nowMs, 'Lost touch with a majority; stepped down.')
      else if (nowMs >= this.#beatAtMs) this.#broadcast(nowMs)
      return
    }
    if (nowMs < this.#electionAtMs) return
    this.#resetElection(nowMs)
    if (stalled || !this.#mayStand) return
    this.phase = 'preCandidate'
    this.leader = ''
    this.#votes = new Set([this.identity])
    this.#requestVotes(true, [])
    this.#count(nowMs)
  }

  receive(message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'requestVote':
        if (message.to === this.identity) this.#onRequestVote(message, nowMs)
        break
      case 'voteReply':
        if (message.to === this.identity) this.#onVoteReply(message, nowMs)
        break
      case 'appendEntries':
        if (message.to === this.identity) this.#onAppend(message, nowMs)
        break
      case 'appendReply':
        if (message.to === this.identity) this.#onAppendReply(message, nowMs)
        break
      case 'installSnapshot':
        if (message.to === this.identity) this.#onSnapshot(message, nowMs)
        break
      case 'snapshotReply':
        if (message.to === this.identity) this.#onSnapshotReply(message, nowMs)
        break
      case 'timeoutNow':
        if (message.to === this.identity) this.#onTimeoutNow(message, nowMs)
        break
      default:
    }
  }

  #stalled(nowMs: number): boolean {
    const oldest = this.#outstanding[0]
    return oldest !== undefined && nowMs - oldest.atMs > this.#timings.diskStallMs
  }

  #voters(): Member[] {
    return this.#log.members.filter((one) => one.voter)
  }

  /** A node that an uncommitted change takes the vote from may hold that change alone, and must stand so that it is committed. */
  get #mayStand(): boolean {
    const counts = (members: readonly Member[]) => members.some((one) => one.voter && one.identity === this.identity)
    return counts(this.members) || (this.changing && counts(this.#log.membersAt(this.#log.membersIndex - 1)))
  }

  /** Members that joined are followed from now on, and those that left no longer. */
  #trackMembers(nowMs: number): void {
    if (this.phase !== 'leader') return
    const members = new Set(this.members.map((one) => one.identity))
    for (const identity of this.#replicas.keys()) if (!members.has(identity)) this.#replicas.delete(identity)
    for (const identity of members) {
      if (!this.#replicas.has(identity)) this.#replicas.set(identity, new ReplicaProgress(this.lastIndex + 1, nowMs))
    }
  }

  #write(records: Uint8Array[], then: { to: string; message: Message }[], nowMs: number): void {
    this.#outstanding.push({ index: this.lastIndex, term: this.term, atMs: nowMs })
    this.#out.writes.push({ records, rewrite: false, then })
  }

  #rewrite(then: { to: string; message: Message }[], nowMs: number): void {
    this.#outstanding.push({ index: this.lastIndex, term: this.term, atMs: nowMs })
    const records = [
      this.#identityRecord(),
      this.#termRecord(),
      DiskRecord.encode({
        kind: 'snapshot',
        index: this.#log.snapshot.index,
        term: this.#log.snapshot.term,
        members: JSON.stringify(this.#log.snapshot.members),
        state: this.#log.snapshot.state,
      }),
      ...this.#log.entries.map((entry) => DiskRecord.encode({ kind: 'entry', ...entry })),
    ]
    this.#out.writes.push({ records, rewrite: true, then })
  }

  #identityRecord(): Uint8Array {
    return DiskRecord.encode({ kind: 'identity', identity: this.identity, system: this.system })
  }

  #termRecord(): Uint8Array {
    return DiskRecord.encode({ kind: 'term', term: this.term, ballot: this.#votedFor })
  }

  #add(entries: Entry[], then: { to: string; message: Message }[], nowMs: number): void {
    this.#log.append(entries)
    this.#trackMembers(nowMs)
    this.#write(
      entries.map((entry) => DiskRecord.encode({ kind: 'entry', ...entry })),
      then,
      nowMs,
    )
  }

  #lead(type: Entry['type'], bytes: Uint8Array, nowMs: number): number {
    const index = this.lastIndex + 1
    this.#add([{ index, term: this.term, type, bytes }], [], nowMs)
    this.#broadcast(nowMs)
    return index
  }

  #resetElection(nowMs: number): void {
    this.#electionAtMs = nowMs + this.#timings.electionMs + this.#random.next() * this.#timings.electionSpreadMs
  }

  #follow(term: number, leader: string, nowMs: number, why?: string): void {
    if (why !== undefined) this.#out.says.push(why)
    if (term > this.term) {
      this.term = term
      this.#votedFor = ''
      this.#write([this.#termRecord()], [], nowMs)
    }
    if (this.phase !== 'follower') this.#resetElection(nowMs)
    this.phase = 'follower'
    this.leader = leader
    if (leader !== '') this.#lastLeader = leader
    this.#out.lostReads.push(...this.#rounds.dropReads())
  }

  #requestVotes(pre: boolean, records: Uint8Array[], nowMs = 0, transfer = false): void {
    const message = {
      kind: 'requestVote' as const,
      from: this.identity,
      term: pre ? this.term + 1 : this.term,
      lastIndex: this.lastIndex,
      lastTerm: this.#log.termAt(this.lastIndex),
      pre,
      transfer,
    }
    const asks = this.#voters()
      .filter((one) => one.identity !== this.identity)
      .map((one) => ({ to: one.identity, message: { ...message, to: one.identity } }))
    if (pre) this.#out.sends.push(...asks)
    else this.#write(records, asks, nowMs)
  }

  #count(nowMs: number): void {
    const voters = this.#voters()
    if (voters.filter((one) => this.#votes.has(one.identity)).length * 2 <= voters.length) return
    if (this.phase === 'preCandidate') this.#campaign(nowMs)
    else if (this.phase === 'candidate') {
      this.#begin(nowMs)
    }
  }

  #begin(nowMs: number): void {
    this.phase = 'leader'
    this.leader = this.identity
    this.#rounds.begin()
    this.#handedOverMs = -Infinity
    this.#takesNothingUntilMs = -Infinity
    this.#replicas = new Map(this.members.map((one) => [one.identity, new ReplicaProgress(this.lastIndex + 1, nowMs)]))
    const before = this.#replicas.get(this.#lastLeader)
    if (before !== undefined && this.#lastLeader !== this.identity) before.heardMs = this.#heardLeaderMs
    this.#out.says.push(`Leads the core in term ${String(this.term)}.`)
    this.#lead('noop', noBytes, nowMs)
  }

  #campaign(nowMs: number, transfer = false): void {
    this.phase = 'candidate'
    this.leader = ''
    this.term += 1
    this.#votedFor = this.identity
    this.#votes = new Set()
    this.#requestVotes(false, [this.#termRecord()], nowMs, transfer)
  }

  #onRequestVote(ask: Extract<Message, { kind: 'requestVote' }>, nowMs: number): void {
    const lastTerm = this.#log.termAt(this.lastIndex)
    const fresh = ask.lastTerm > lastTerm || (ask.lastTerm === lastTerm && ask.lastIndex >= this.lastIndex)
    const give = { kind: 'voteReply' as const, to: ask.from, from: this.identity, pre: ask.pre }
    const content = this.phase === 'leader' || nowMs - this.#heardLeaderMs < this.#timings.electionMs
    if (ask.pre) {
      const given = ask.term > this.term && fresh && !content
      this.#out.sends.push({ to: ask.from, message: { ...give, term: given ? ask.term : this.term, given } })
      return
    }
    // A request that was long under way must not depose the leader that a majority has just confirmed.
    if (ask.term > this.term && content && ask.transfer !== true) {
      this.#out.sends.push({ to: ask.from, message: { ...give, term: this.term, given: false } })
      return
    }
    if (ask.term > this.term) this.#follow(ask.term, '', nowMs)
    const given = ask.term === this.term && fresh && this.phase === 'follower' && (this.#votedFor === '' || this.#votedFor === ask.from)
    if (given) {
      this.#votedFor = ask.from
      this.#resetElection(nowMs)
    }
    this.#write(given ? [this.#termRecord()] : [], [{ to: ask.from, message: { ...give, term: this.term, given } }], nowMs)
  }

  #onVoteReply(give: Extract<Message, { kind: 'voteReply' }>, nowMs: number): void {
    if (!give.given && give.term > this.term) this.#follow(give.term, '', nowMs)
    else if (give.given && give.pre && this.phase === 'preCandidate' && give.term === this.term + 1) this.#votes.add(give.from)
    else if (give.given && !give.pre && this.phase === 'candidate' && give.term === this.term) this.#votes.add(give.from)
    else return
    if (this.phase !== 'follower') this.#count(nowMs)
  }

  #broadcast(nowMs: number): void {
    this.#rounds.send(nowMs)
    this.#beatAtMs = nowMs + this.#timings.heartbeatMs
    for (const member of this.members) if (member.identity !== this.identity) this.#feed(member.identity, nowMs, true)
    this.#advance(nowMs)
  }

  /** Sends a member what it lacks; as a heartbeat also where it lacks nothing. */
  #feed(to: string, nowMs: number, heartbeat: boolean): void {
    const replica = this.#replicas.get(to)
    if (replica === undefined) return
    const transfer = replica.transferOf(this.#log.snapshot, this.#timings.electionMs)
    if (transfer !== undefined) {
      const chunk = transfer.due(nowMs)
      if (chunk !== undefined) this.#sendChunk(to, transfer.snapshot, chunk)
      if (heartbeat) this.#sendEntries(to, 0, [], 0)
      return
    }
    const entries = replica.mayTakeEntries ? this.#log.batch(replica.next, batchBytes) : []
    if (entries.length === 0 && !heartbeat) return
    this.#sendEntries(to, replica.next - 1, entries, this.commit)
    replica.sent(entries.length)
  }

  #sendEntries(to: string, prevIndex: number, entries: Entry[], commit: number): void {
    const prevTerm = this.#log.termAt(prevIndex)
    this.#out.sends.push({
      to,
      message: {
        kind: 'appendEntries',
        to,
        from: this.identity,
        term: this.term,
        round: this.#rounds.newest,
        prevIndex,
        prevTerm,
        commit,
        entries,
      },
    })
  }

  #sendChunk(to: string, snapshot: Snapshot, chunk: { offset: number; bytes: Uint8Array }): void {
    this.#out.sends.push({
      to,
      message: {
        kind: 'installSnapshot',
        to,
        from: this.identity,
        term: this.term,
        round: this.#rounds.newest,
        index: snapshot.index,
        lastTerm: snapshot.term,
        members: JSON.stringify(snapshot.members),
        state: chunk.bytes,
        offset: chunk.offset,
        totalBytes: snapshot.state.length,
      },
    })
  }

  #onAppend(append: Extract<Message, { kind: 'appendEntries' }>, nowMs: number): void {
    const reply = { kind: 'appendReply' as const, to: append.from, from: this.identity, round: append.round }
    if (append.term < this.term) {
      this.#out.sends.push({ to: append.from, message: { ...reply, term: this.term, ok: false, match: this.lastIndex } })
      return
    }
    this.#hearLeader(append.term, append.from, nowMs)
    const { prevIndex, prevTerm } = append
    if (prevIndex > this.lastIndex || (prevIndex >= this.#log.snapshot.index && this.#log.termAt(prevIndex) !== prevTerm)) {
      const match = this.#mayMatch(prevIndex)
      this.#write([], [{ to: append.from, message: { ...reply, term: this.term, ok: false, match } }], nowMs)
      return
    }
    const fresh = append.entries.filter((entry) => entry.index > this.#log.snapshot.index && this.#log.termAt(entry.index) !== entry.term)
    const match = Math.max(prevIndex + append.entries.length, Math.min(this.#log.snapshot.index, this.commit))
    const then = [{ to: append.from, message: { ...reply, term: this.term, ok: true, match } }]
    const first = fresh[0]
    if (first === undefined) this.#write([], then, nowMs)
    else
      this.#add(
        append.entries.filter((entry) => entry.index >= first.index),
        then,
        nowMs,
      )
    this.#commitTo(Math.min(append.commit, prevIndex + append.entries.length))
  }

  /** The highest index up to which this log may be that of a leader whose entry before `prevIndex` it does not hold. */
  #mayMatch(prevIndex: number): number {
    if (prevIndex > this.lastIndex) return this.lastIndex
    const term = this.#log.termAt(prevIndex)
    let index = prevIndex - 1
    while (index > this.commit && this.#log.termAt(index) === term) index -= 1
    return Math.max(this.commit, index)
  }

  #hearLeader(term: number, leader: string, nowMs: number): void {
    if (term > this.term || this.phase !== 'follower' || this.leader !== leader) this.#follow(term, leader, nowMs)
    this.#heardLeaderMs = nowMs
    this.#resetElection(nowMs)
  }

  #onSnapshot(chunk: Extract<Message, { kind: 'installSnapshot' }>, nowMs: number): void {
    const reply = { kind: 'appendReply' as const, to: chunk.from, from: this.identity, round: chunk.round }
    if (chunk.term < this.term) {
      this.#out.sends.push({ to: chunk.from, message: { ...reply, term: this.term, ok: false, match: this.lastIndex } })
      return
    }
    this.#hearLeader(chunk.term, chunk.from, nowMs)
    const held = [{ to: chunk.from, message: { ...reply, term: this.term, ok: true, match: Math.max(chunk.index, this.commit) } }]
    if (chunk.index <= this.commit) {
      this.#write([], held, nowMs)
      return
    }
    const snapshot = this.#incoming.add(chunk)
    if (snapshot === undefined) {
      this.#out.sends.push({
        to: chunk.from,
        message: {
          kind: 'snapshotReply',
          to: chunk.from,
          from: this.identity,
          term: this.term,
          round: chunk.round,
          index: chunk.index,
          receivedBytes: this.#incoming.bytes,
        },
      })
      return
    }
    this.#log.install(snapshot)
    this.commit = snapshot.index
    this.#applied = snapshot.index
    this.#out.adopted = { index: snapshot.index, state: snapshot.state }
    this.#rewrite(held, nowMs)
  }

  #onSnapshotReply(reply: Extract<Message, { kind: 'snapshotReply' }>, nowMs: number): void {
    const replica = this.#replicas.get(reply.from)
    if (this.phase !== 'leader' || reply.term !== this.term || replica === undefined) return
    replica.heardMs = nowMs
    replica.round = Math.max(replica.round, reply.round)
    if (replica.transfer?.snapshot.index === reply.index) {
      replica.transfer.received(reply.receivedBytes)
      this.#feed(reply.from, nowMs, false)
    }
    this.#advance(nowMs)
  }

  /** The leader hands over: an election without a pre-vote, which the others would not give beside a live leader. */
  #onTimeoutNow(request: Extract<Message, { kind: 'timeoutNow' }>, nowMs: number): void {
    if (request.term !== this.term || this.phase !== 'follower' || !this.#mayStand || this.#stalled(nowMs)) return
    this.#resetElection(nowMs)
    this.#campaign(nowMs, true)
  }

  #onAppendReply(reply: Extract<Message, { kind: 'appendReply' }>, nowMs: number): void {
    if (reply.term > this.term) {
      this.#follow(reply.term, '', nowMs)
      return
    }
    const replica = this.#replicas.get(reply.from)
    if (this.phase !== 'leader' || reply.term !== this.term || replica === undefined) return
    replica.heardMs = nowMs
    replica.round = Math.max(replica.round, reply.round)
    if (reply.ok) replica.accepted(reply.match)
    else replica.rejected(reply.match)
    if (replica.next <= this.lastIndex) this.#feed(reply.from, nowMs, false)
    this.#advance(nowMs)
  }

  /** The highest value that a majority of the voters has reached. */
  #majority(value: (replica: ReplicaProgress) => number, own?: number): number {
    const voters = this.#voters()
    const values = voters
      .map((one) => {
        if (one.identity === this.identity && own !== undefined) return own
        const replica = this.#replicas.get(one.identity)
        return replica === undefined ? 0 : value(replica)
      })
      .sort((a, b) => b - a)
    return values[Math.floor(voters.length / 2)] ?? 0
  }

  #advance(nowMs: number): void {
    if (this.phase !== 'leader') return
    const round = this.#majority((replica) => replica.round, this.#rounds.newest)
    this.#rounds.confirm(round)
    const match = this.#majority((replica) => replica.match)
    if (match > this.commit && this.#log.termAt(match) === this.term) {
      this.#commitTo(match)
      if (!this.#voters().some((one) => one.identity === this.identity) && !this.changing) {
        this.#follow(this.term, '', nowMs, 'Left the core; stepped down.')
        return
      }
      this.#beatAtMs = nowMs
    }
    this.#out.readable.push(...this.#rounds.readable(round, this.#applied))
  }

  #commitTo(index: number): void {
    this.commit = Math.max(this.commit, Math.min(index, this.lastIndex))
    while (this.#applied < this.commit) {
      const entry = this.#log.entryAt(this.#applied + 1)
      if (entry === undefined) break
      this.#applied += 1
      this.#out.applied.push(entry)
    }
  }
}
