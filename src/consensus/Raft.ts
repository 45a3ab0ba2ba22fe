/**
 * Raft as published, for the core: leader election with a pre-vote, log replication, check-quorum,
 * an empty entry at the start of each term, reads by read-index, views for laggards, and membership
 * changes one at a time. Pure: it is told the time, what arrived and what was synced, and collects
 * what is to be sent and written. No ballot and no acceptance leaves before the record is synced.
 */
import { z } from 'zod'
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import type { Message } from '../transport/Message.js'
import type { RaftOutput } from './RaftOutput.js'
import type { Entry } from './Entry.js'
import { Member } from './Member.js'
import { DiskRecord } from './DiskRecord.js'

interface Replica {
  next: number
  match: number
  round: number
  heardMs: number
}
const Members = z.array(Member)
const batchBytes = 1_000_000
const noBytes = new Uint8Array()

function readMembers(bytes: Uint8Array): Member[] {
  return Members.parse(JSON.parse(Buffer.from(bytes).toString()))
}

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
  #entries: Entry[] = []
  #view: { index: number; term: number; members: Member[]; state: Uint8Array } = { index: 0, term: 0, members: [], state: noBytes }
  #members: Member[] = []
  #membersIndex = 0
  #applied = 0
  #electionAtMs: number
  #heardLeaderMs = -Infinity
  #votes = new Set<string>()
  #replicas = new Map<string, Replica>()
  #round = 0
  #roundSentMs = new Map<number, number>()
  #sureMs = -Infinity
  #beatAtMs = 0
  #reads: { id: string; index: number; round: number }[] = []
  #outstanding: { index: number; term: number; atMs: number }[] = []
  #out: RaftOutput

  constructor(seat: string, timings: Timings, random: Random, disk: readonly Uint8Array[], nowMs: number) {
    this.#timings = timings
    this.#random = random
    this.#out = Raft.#blank()
    let identity = ''
    for (const record of disk) {
      const sheet = DiskRecord.decode(record)
      if (sheet === undefined)
        throw new Error('a whole record on disk is not one of ours; this data folder belongs to another program or another release')
      if (sheet.kind === 'identity') {
        identity = sheet.identity
        this.system = sheet.system
      } else if (sheet.kind === 'term') {
        this.term = sheet.term
        this.#votedFor = sheet.ballot
      } else if (sheet.kind === 'snapshot') {
        this.#view = { index: sheet.index, term: sheet.term, members: readMembers(Buffer.from(sheet.members)), state: sheet.state }
        this.#entries = []
        this.commit = sheet.index
      } else {
        this.#entries.length = Math.max(0, sheet.index - this.#view.index - 1)
        this.#entries.push({ index: sheet.index, term: sheet.term, type: sheet.type, bytes: sheet.bytes })
      }
    }
    this.identity = identity === '' ? `${seat}.${random.below(4294967296).toString(16)}${random.below(4294967296).toString(16)}` : identity
    if (identity === '') this.#write([this.#identityRecord()], [], nowMs)
    this.#findMembers()
    this.#electionAtMs = nowMs + timings.electionMs + random.next() * timings.electionSpreadMs
    if (this.#view.index > 0) {
      this.#applied = this.#view.index
      this.#out.adopted = { index: this.#view.index, state: this.#view.state }
    }
  }

  static #blank(): RaftOutput {
    return { sends: [], writes: [], applied: [], adopted: undefined, readable: [], lostReads: [], says: [] }
  }

  get empty(): boolean {
    return this.term === 0 && this.lastIndex === 0
  }

  get lastIndex(): number {
    return this.#view.index + this.#entries.length
  }

  get members(): readonly Member[] {
    return this.#members
  }

  /** True while no other leader can have been at work: a majority confirmed this one lately enough. */
  surelyLeads(nowMs: number): boolean {
    return this.phase === 'leader' && nowMs - this.#sureMs < this.#timings.electionMs
  }

  /** True once an entry of this leader's own term is committed. */
  get settled(): boolean {
    return this.phase === 'leader' && this.#termAt(this.commit) === this.term
  }

  get changing(): boolean {
    return this.#membersIndex > this.commit
  }

  caughtUp(identity: string): boolean {
    return (this.#replicas.get(identity)?.match ?? 0) >= this.commit
  }

  heardMs(identity: string): number {
    return this.#replicas.get(identity)?.heardMs ?? -Infinity
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
    if (this.phase !== 'leader') return undefined
    return this.#lead('command', bytes, nowMs)
  }

  changeMembers(members: Member[], nowMs: number): boolean {
    if (!this.settled || this.changing) return false
    this.#lead('members', Buffer.from(JSON.stringify(members)), nowMs)
    return true
  }

  read(id: string, nowMs: number): void {
    if (!this.settled) {
      this.#out.lostReads.push(id)
      return
    }
    this.#broadcast(nowMs)
    this.#reads.push({ id, index: this.commit, round: this.#round })
    this.#advance(nowMs)
  }

  written(nowMs: number): void {
    const done = this.#outstanding.shift()
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
    if (index <= this.#view.index || index > this.#applied) return
    const term = this.#termAt(index)
    const members = this.#membersAt(index)
    this.#entries = this.#entries.slice(index - this.#view.index)
    this.#view = { index, term, members, state }
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
    if (stalled || !this.#mayStand()) return
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
        if (message.to === this.identity) this.#onAppended(message, nowMs)
        break
      case 'installSnapshot':
        if (message.to === this.identity) this.#onView(message, nowMs)
        break
      default:
    }
  }

  #stalled(nowMs: number): boolean {
    const oldest = this.#outstanding[0]
    return oldest !== undefined && nowMs - oldest.atMs > this.#timings.diskStallMs
  }

  #voters(): Member[] {
    return this.#members.filter((one) => one.voter)
  }

  /** A node that an uncommitted change takes the vote from may hold that change alone, and must stand so that it is committed. */
  #mayStand(): boolean {
    const counts = (members: readonly Member[]) => members.some((one) => one.voter && one.identity === this.identity)
    return counts(this.#members) || (this.changing && counts(this.#membersAt(this.#membersIndex - 1)))
  }

  #termAt(index: number): number {
    if (index === this.#view.index) return this.#view.term
    return this.#entries[index - this.#view.index - 1]?.term ?? 0
  }

  #membersAt(index: number): Member[] {
    for (let at = index - this.#view.index - 1; at >= 0; at--) {
      const entry = this.#entries[at]
      if (entry?.type === 'members') return readMembers(entry.bytes)
    }
    return this.#view.members
  }

  #findMembers(): void {
    this.#members = this.#membersAt(this.lastIndex)
    this.#membersIndex = this.#view.index
    for (const entry of this.#entries) if (entry.type === 'members') this.#membersIndex = entry.index
    if (this.phase !== 'leader') return
    for (const member of this.#members) {
      if (!this.#replicas.has(member.identity))
        this.#replicas.set(member.identity, { next: this.lastIndex + 1, match: 0, round: 0, heardMs: -Infinity })
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
        index: this.#view.index,
        term: this.#view.term,
        members: JSON.stringify(this.#view.members),
        state: this.#view.state,
      }),
      ...this.#entries.map((entry) => DiskRecord.encode({ kind: 'entry', ...entry })),
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
    const first = entries[0]
    if (first !== undefined) this.#entries.length = first.index - this.#view.index - 1
    this.#entries.push(...entries)
    this.#findMembers()
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
    this.#out.lostReads.push(...this.#reads.map((read) => read.id))
    this.#reads = []
  }

  #requestVotes(pre: boolean, records: Uint8Array[], nowMs = 0): void {
    const message = {
      kind: 'requestVote' as const,
      from: this.identity,
      term: pre ? this.term + 1 : this.term,
      lastIndex: this.lastIndex,
      lastTerm: this.#termAt(this.lastIndex),
      pre,
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
    if (this.phase === 'preCandidate') {
      this.phase = 'candidate'
      this.term += 1
      this.#votedFor = this.identity
      this.#votes = new Set()
      this.#requestVotes(false, [this.#termRecord()], nowMs)
    } else if (this.phase === 'candidate') {
      this.phase = 'leader'
      this.leader = this.identity
      this.#sureMs = -Infinity
      this.#roundSentMs.clear()
      this.#replicas = new Map(this.#members.map((one) => [one.identity, { next: this.lastIndex + 1, match: 0, round: 0, heardMs: nowMs }]))
      this.#out.says.push(`Leads the core in term ${String(this.term)}.`)
      this.#lead('noop', noBytes, nowMs)
    }
  }

  #onRequestVote(ask: Extract<Message, { kind: 'requestVote' }>, nowMs: number): void {
    const lastTerm = this.#termAt(this.lastIndex)
    const fresh = ask.lastTerm > lastTerm || (ask.lastTerm === lastTerm && ask.lastIndex >= this.lastIndex)
    const give = { kind: 'voteReply' as const, to: ask.from, from: this.identity, pre: ask.pre }
    if (ask.pre) {
      const content = this.phase === 'leader' || nowMs - this.#heardLeaderMs < this.#timings.electionMs
      const given = ask.term > this.term && fresh && !content
      this.#out.sends.push({ to: ask.from, message: { ...give, term: given ? ask.term : this.term, given } })
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
    this.#round += 1
    this.#roundSentMs.set(this.#round, nowMs)
    this.#beatAtMs = nowMs + this.#timings.heartbeatMs
    for (const member of this.#members) if (member.identity !== this.identity) this.#feed(member.identity)
    this.#advance(nowMs)
  }

  #feed(to: string): void {
    const replica = this.#replicas.get(to)
    if (replica === undefined) return
    const head = { to, from: this.identity, term: this.term, round: this.#round }
    if (replica.next <= this.#view.index) {
      const { index, term, members, state } = this.#view
      this.#out.sends.push({
        to,
        message: { kind: 'installSnapshot', ...head, index, lastTerm: term, members: JSON.stringify(members), state },
      })
      replica.next = index + 1
      return
    }
    const entries: Entry[] = []
    let bytes = 0
    for (let index = replica.next; index <= this.lastIndex && bytes < batchBytes; index++) {
      const entry = this.#entries[index - this.#view.index - 1]
      if (entry === undefined) break
      entries.push(entry)
      bytes += entry.bytes.length
    }
    const prevIndex = replica.next - 1
    this.#out.sends.push({
      to,
      message: { kind: 'appendEntries', ...head, prevIndex, prevTerm: this.#termAt(prevIndex), commit: this.commit, entries },
    })
    replica.next += entries.length
  }

  #onAppend(append: Extract<Message, { kind: 'appendEntries' }>, nowMs: number): void {
    const reply = { kind: 'appendReply' as const, to: append.from, from: this.identity, round: append.round }
    if (append.term < this.term) {
      this.#out.sends.push({ to: append.from, message: { ...reply, term: this.term, ok: false, match: this.lastIndex } })
      return
    }
    this.#hearLeader(append.term, append.from, nowMs)
    const { prevIndex, prevTerm } = append
    if (prevIndex > this.lastIndex || (prevIndex >= this.#view.index && this.#termAt(prevIndex) !== prevTerm)) {
      const match = Math.min(this.lastIndex, Math.max(this.commit, prevIndex - 1))
      this.#write([], [{ to: append.from, message: { ...reply, term: this.term, ok: false, match } }], nowMs)
      return
    }
    const fresh = append.entries.filter((entry) => entry.index > this.#view.index && this.#termAt(entry.index) !== entry.term)
    const match = Math.max(prevIndex + append.entries.length, Math.min(this.#view.index, this.commit))
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

  #hearLeader(term: number, leader: string, nowMs: number): void {
    if (term > this.term || this.phase !== 'follower' || this.leader !== leader) this.#follow(term, leader, nowMs)
    this.#heardLeaderMs = nowMs
    this.#resetElection(nowMs)
  }

  #onView(view: Extract<Message, { kind: 'installSnapshot' }>, nowMs: number): void {
    const reply = { kind: 'appendReply' as const, to: view.from, from: this.identity, round: view.round }
    if (view.term < this.term) {
      this.#out.sends.push({ to: view.from, message: { ...reply, term: this.term, ok: false, match: this.lastIndex } })
      return
    }
    this.#hearLeader(view.term, view.from, nowMs)
    const then = [{ to: view.from, message: { ...reply, term: this.term, ok: true, match: Math.max(view.index, this.commit) } }]
    if (view.index <= this.commit) {
      this.#write([], then, nowMs)
      return
    }
    const keeps = this.#termAt(view.index) === view.lastTerm
    this.#entries = keeps ? this.#entries.slice(view.index - this.#view.index) : []
    this.#view = { index: view.index, term: view.lastTerm, members: readMembers(Buffer.from(view.members)), state: view.state }
    this.commit = view.index
    this.#applied = view.index
    this.#out.adopted = { index: view.index, state: view.state }
    this.#findMembers()
    this.#rewrite(then, nowMs)
  }

  #onAppended(reply: Extract<Message, { kind: 'appendReply' }>, nowMs: number): void {
    if (reply.term > this.term) {
      this.#follow(reply.term, '', nowMs)
      return
    }
    const replica = this.#replicas.get(reply.from)
    if (this.phase !== 'leader' || reply.term !== this.term || replica === undefined) return
    replica.heardMs = nowMs
    replica.round = Math.max(replica.round, reply.round)
    if (reply.ok) {
      replica.match = Math.max(replica.match, reply.match)
      replica.next = Math.max(replica.next, replica.match + 1)
    } else {
      replica.next = Math.max(replica.match, Math.min(replica.next - 1, reply.match)) + 1
    }
    if (replica.next <= this.lastIndex) this.#feed(reply.from)
    this.#advance(nowMs)
  }

  /** The highest value that a majority of the voters has reached. */
  #majority(value: (replica: Replica) => number, own?: number): number {
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
    const round = this.#majority((replica) => replica.round, this.#round)
    const sentMs = this.#roundSentMs.get(round)
    if (sentMs !== undefined) {
      this.#sureMs = Math.max(this.#sureMs, sentMs)
      for (const old of this.#roundSentMs.keys()) if (old < round) this.#roundSentMs.delete(old)
    }
    const match = this.#majority((replica) => replica.match)
    if (match > this.commit && this.#termAt(match) === this.term) {
      this.#commitTo(match)
      if (!this.#voters().some((one) => one.identity === this.identity) && !this.changing) {
        this.#follow(this.term, '', nowMs, 'Left the core; stepped down.')
        return
      }
      this.#beatAtMs = nowMs
    }
    const ready = this.#reads.filter((read) => read.round <= round && read.index <= this.#applied)
    this.#reads = this.#reads.filter((read) => !ready.includes(read))
    this.#out.readable.push(...ready.map((read) => read.id))
  }

  #commitTo(index: number): void {
    this.commit = Math.max(this.commit, Math.min(index, this.lastIndex))
    while (this.#applied < this.commit) {
      const entry = this.#entries[this.#applied - this.#view.index]
      if (entry === undefined) break
      this.#applied += 1
      this.#out.applied.push(entry)
    }
  }
}
