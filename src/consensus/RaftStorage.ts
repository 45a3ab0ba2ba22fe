/**
 * A Raft member's records on disk: it reads them at the start, writes term, vote, entries and snapshots, and keeps account
 * of the writes that are not synced. What stands in a write's `then` is sent only once that write is synced.
 */
import type { Timings } from '../common/Timings.js'
import { DiskRecord } from './DiskRecord.js'
import type { Entry } from './Entry.js'
import type { RaftOutput } from './RaftOutput.js'
import type { RaftState } from './RaftState.js'
import { ReplicatedLog } from './ReplicatedLog.js'

type Sends = RaftOutput['sends']
/** The end of the log and the term when a write began. */
interface Write {
  index: number
  term: number
  atMs: number
}

/** The weight of the newest write in the mean of `syncMs`. */
const newestWeight = 0.1

export class RaftStorage {
  /** How long a write took to be synced of late. */
  syncMs = 0
  readonly #state: RaftState
  readonly #timings: Timings
  #foundingSeeds: readonly string[] = []
  #identitySynced = false
  #unsynced: Write[] = []

  constructor(state: RaftState, timings: Timings) {
    this.#state = state
    this.#timings = timings
  }

  /** The seeds among which this member may found a core; none, if it may not. */
  get foundingSeeds(): readonly string[] {
    return this.#foundingSeeds
  }

  /** True once the identity is on disk: before that nobody may be told of it, for it may be lost. */
  get identitySynced(): boolean {
    return this.#identitySynced
  }

  /** Reads the records of a disk into the state; the identity stays empty where there is none. */
  restore(disk: readonly Uint8Array[]): void {
    for (const bytes of disk) {
      const record = DiskRecord.decode(bytes)
      if (record === undefined)
        throw new Error('a whole record on disk is not one of ours; this data folder belongs to another program or another release')
      this.#restoreRecord(record)
    }
    this.#identitySynced = this.#state.identity !== ''
  }

  #restoreRecord(record: DiskRecord): void {
    const state = this.#state
    switch (record.kind) {
      case 'identity':
        state.identity = record.identity
        state.system = record.system
        break
      case 'term':
        state.term = record.term
        state.votedFor = record.ballot
        break
      case 'founding':
        this.#foundingSeeds = record.seeds
        break
      case 'snapshot': {
        const { index, term } = record
        state.log.install({ index, term, members: ReplicatedLog.readMembers(record.members), state: record.state })
        state.commit = index
        break
      }
      case 'entry':
        state.log.append([{ index: record.index, term: record.term, type: record.type, bytes: record.bytes }])
        break
    }
  }

  /** An empty disk gets the identity and, where this member may found a core, the seeds. */
  writeFirst(foundingSeeds: readonly string[], nowMs: number): void {
    this.#foundingSeeds = foundingSeeds
    const records = [this.#identityRecord()]
    if (foundingSeeds.length > 0) records.push(DiskRecord.encode({ kind: 'founding', seeds: [...foundingSeeds] }))
    this.#write(records, [], nowMs)
  }

  writeIdentity(nowMs: number): void {
    this.#write([this.#identityRecord()], [], nowMs)
  }

  /** Writes the term and the vote. */
  writeTerm(then: Sends, nowMs: number): void {
    this.#write([this.#termRecord()], then, nowMs)
  }

  /** Writes nothing; what is to be sent waits for the writes before it. */
  sendOnceSynced(then: Sends, nowMs: number): void {
    this.#write([], then, nowMs)
  }

  /** Adds entries to the log; whatever stood at the first one's index and after it gives way. */
  append(entries: readonly Entry[], then: Sends, nowMs: number): void {
    this.#state.log.append(entries)
    const records = entries.map((entry) => DiskRecord.encode({ kind: 'entry', ...entry }))
    this.#write(records, then, nowMs)
  }

  /** Writes all records anew: the snapshot and what comes after it. */
  rewrite(then: Sends, nowMs: number): void {
    const { snapshot, entries } = this.#state.log
    const { index, term, state } = snapshot
    const records = [
      this.#identityRecord(),
      this.#termRecord(),
      DiskRecord.encode({ kind: 'snapshot', index, term, members: JSON.stringify(snapshot.members), state }),
      ...entries.map((entry) => DiskRecord.encode({ kind: 'entry', ...entry })),
    ]
    this.#put({ records, rewrite: true, then }, nowMs)
  }

  #write(records: Uint8Array[], then: Sends, nowMs: number): void {
    this.#put({ records, rewrite: false, then }, nowMs)
  }

  #put(write: RaftOutput['writes'][number], nowMs: number): void {
    const { log, term, output } = this.#state
    this.#unsynced.push({ index: log.lastIndex, term, atMs: nowMs })
    output.writes.push(write)
  }

  /** The oldest write is synced; gives it. */
  synced(nowMs: number): Write | undefined {
    const write = this.#unsynced.shift()
    this.#identitySynced = true
    if (write !== undefined) this.syncMs += newestWeight * (nowMs - write.atMs - this.syncMs)
    return write
  }

  /** True while the disk takes too long for a write. */
  stalled(nowMs: number): boolean {
    const oldest = this.#unsynced[0]
    return oldest !== undefined && nowMs - oldest.atMs > this.#timings.diskStallMs
  }

  #identityRecord(): Uint8Array {
    const { identity, system } = this.#state
    return DiskRecord.encode({ kind: 'identity', identity, system })
  }

  #termRecord(): Uint8Array {
    const { term, votedFor } = this.#state
    return DiskRecord.encode({ kind: 'term', term, ballot: votedFor })
  }
}
