/**
 * The invariants of the consensus log, checked at each step of each node from outside: by what it hands to
 * its disk, what its disk has synced, and what it sends.
 */
import { z } from 'zod'
import type { DiskRecord } from '../../consensus/DiskRecord.js'
import { Member } from '../../consensus/Member.js'
import type { Message } from '../../transport/Message.js'
import type { AgreedLog } from './AgreedLog.js'
import { Breach } from './Breach.js'
import { LogImage } from './LogImage.js'

interface Leading {
  identity: string
  term: number
  commit: number
  members: readonly Member[]
}
type LoggedEntry = Extract<DiskRecord, { kind: 'entry' }>
const Members = z.array(Member)

export class Invariants {
  readonly #agreed: AgreedLog
  readonly #leaders = new Map<number, string>()
  #lastTerm = 0
  readonly #votes = new Map<string, string>()
  readonly #syncedVotes = new Set<string>()
  /** Every log entry ever made, by index and term, with the term of the entry before it. */
  readonly #entries = new Map<string, { bytes: Uint8Array; termBefore: number }>()
  readonly #configurations = new Map<number, Member[][]>()
  /** What the disk of each identity has synced; it stays as it was when the disk is wiped. */
  readonly #disks = new Map<string, LogImage>()
  readonly #wiped = new Set<string>()

  constructor(agreed: AgreedLog) {
    this.#agreed = agreed
  }

  /** A node opened its disk: what it finds there, it has synced, and it may have forgotten nothing. */
  opened(identity: string, image: LogImage): void {
    const before = this.#disks.get(identity)
    if (before !== undefined && (this.#wiped.has(identity) || image.term < before.term))
      throw new Breach(
        'durability',
        `${identity} came back in term ${String(image.term)} after ${String(before.term)}, its disk empty or older`,
      )
    this.#disks.set(identity, image)
    this.#syncedVotes.add(`${identity} ${String(image.term)} ${image.votedFor}`)
  }

  wiped(identity: string): void {
    this.#wiped.add(identity)
  }

  intact(identity: string): boolean {
    return !this.#wiped.has(identity)
  }

  /** Records were synced: they take effect on the identity's disk. */
  synced(identity: string, records: readonly Uint8Array[], rewrite: boolean): void {
    const image = this.#disks.get(identity)
    const read = rewrite ? image?.replace(records) : image?.append(records)
    for (const record of read ?? [])
      if (record.kind === 'term') this.#syncedVotes.add(`${identity} ${String(record.term)} ${record.ballot}`)
  }

  /** Log matching: an index and a term name one entry, and one entry before it. */
  logged(who: string, image: LogImage, records: readonly DiskRecord[]): void {
    for (const record of records) if (record.kind === 'entry') this.#matches(who, image, record)
  }

  #matches(who: string, image: LogImage, entry: LoggedEntry): void {
    const key = `${String(entry.index)} ${String(entry.term)}`
    const termBefore = image.termAt(entry.index - 1)
    const known = this.#entries.get(key)
    if (known === undefined) {
      this.#entries.set(key, { bytes: entry.bytes, termBefore })
      if (entry.type === 'members') this.#configure(entry)
      return
    }
    if (known.termBefore !== termBefore || (known.bytes !== entry.bytes && Buffer.compare(known.bytes, entry.bytes) !== 0))
      throw new Breach(
        'log matching',
        `${who} has another entry at ${String(entry.index)} of term ${String(entry.term)}, or another before it`,
      )
  }

  #configure(entry: LoggedEntry): void {
    const members = Members.parse(JSON.parse(Buffer.from(entry.bytes).toString()))
    this.#configurations.set(entry.index, [...(this.#configurations.get(entry.index) ?? []), members])
  }

  /** True when each configuration that may be in force keeps a majority of intact disks without this one, and one is committed. */
  mayWipe(identity: string): boolean {
    const fromIndex = this.#agreed.membersIndex
    if (fromIndex === 0) return false
    return [...this.#configurations].every(
      ([index, configurations]) => index < fromIndex || configurations.every((members) => this.keepsMajority(members, identity)),
    )
  }

  /** True when a majority of the voters has an intact disk, another than this one. */
  keepsMajority(members: readonly Member[], without = ''): boolean {
    const voters = members.filter((one) => one.voter)
    return voters.filter((one) => one.identity !== without && this.intact(one.identity)).length * 2 > voters.length
  }

  /** Votes and acceptances leave only once they are synced, and a vote is given once in a term. */
  sent(from: string, message: Message): void {
    if (message.kind === 'voteReply' && message.given && !message.pre) this.#voted(from, message.term, message.to)
    if (message.kind === 'requestVote' && !message.pre) this.#voted(from, message.term, from)
    if (message.kind === 'appendReply' && message.ok) {
      const disk = this.#disks.get(from)
      if (disk === undefined || disk.lastIndex < message.match || disk.term < message.term)
        throw new Breach('durability', `${from} accepted up to ${String(message.match)} before its disk had synced that`)
    }
  }

  #voted(voter: string, term: number, candidate: string): void {
    const key = `${voter} ${String(term)}`
    const before = this.#votes.get(key)
    if (before !== undefined && before !== candidate)
      throw new Breach('one vote a term', `${voter} voted in term ${String(term)} for ${before} and for ${candidate}`)
    this.#votes.set(key, candidate)
    if (!this.#syncedVotes.has(`${key} ${candidate}`))
      throw new Breach('durability', `${voter} sent its vote in term ${String(term)} before its disk had synced it`)
  }

  /** Election safety and leader completeness. */
  elected(leader: Leading, image: LogImage): void {
    const other = this.#leaders.get(leader.term)
    if (other !== undefined && other !== leader.identity)
      throw new Breach('election safety', `term ${String(leader.term)} has two leaders, ${other} and ${leader.identity}`)
    this.#leaders.set(leader.term, leader.identity)
    this.#lastTerm = Math.max(this.#lastTerm, leader.term)
    const index = this.#agreed.committedBefore(leader.term)
    if (!image.holds(index, this.#agreed.termAt(index)))
      throw new Breach(
        'leader completeness',
        `${leader.identity} leads term ${String(leader.term)} without committed entry ${String(index)}`,
      )
  }

  /** A leader changes members only once an entry of its own term and the change before are committed. */
  changed(leader: Leading, image: LogImage, index: number): void {
    const { commit, term, identity } = leader
    if (image.membersBefore(index) > commit || image.termAt(commit) !== term)
      throw new Breach('change rule', `${identity} changed members at ${String(index)} with entries up to ${String(commit)} committed`)
  }

  /** While a leader is sure that no other can be at work, none of a later term has been elected. */
  sure(leader: string, term: number): void {
    if (this.#lastTerm > term)
      throw new Breach(
        'sure leader',
        `${leader} is sure of its lead in term ${String(term)}, though term ${String(this.#lastTerm)} has a leader`,
      )
  }

  /** A leader commits by an entry of its own term that a majority of its voters has synced. */
  committed(leader: Leading, image: LogImage): void {
    const { commit, term } = leader
    if (image.termAt(commit) !== term)
      throw new Breach(
        'commit rule',
        `${leader.identity} committed ${String(commit)}, an entry of another term than its own ${String(term)}`,
      )
    const voters = leader.members.filter((one) => one.voter)
    const holding = voters.filter((one) => this.#disks.get(one.identity)?.holds(commit, term) === true)
    if (holding.length * 2 <= voters.length)
      throw new Breach(
        'commit rule',
        `${leader.identity} committed ${String(commit)}, which ${String(holding.length)} of ${String(voters.length)} voters have synced`,
      )
  }
}
