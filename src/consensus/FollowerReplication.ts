/**
 * Log replication on the other side: a member takes entries and snapshots from its leader. No acceptance leaves before
 * what it accepts is synced.
 */
import type { Message } from '../transport/Message.js'
import type { LeaderContact } from './LeaderContact.js'
import type { RaftState } from './RaftState.js'
import type { RaftStorage } from './RaftStorage.js'
import { SnapshotReceiver } from './SnapshotReceiver.js'

type Append = Extract<Message, { kind: 'appendEntries' }>
type SnapshotChunk = Extract<Message, { kind: 'installSnapshot' }>
type AppendReply = Extract<Message, { kind: 'appendReply' }>

export class FollowerReplication {
  readonly #state: RaftState
  readonly #storage: RaftStorage
  readonly #contact: LeaderContact
  readonly #receiver = new SnapshotReceiver()

  constructor(state: RaftState, storage: RaftStorage, contact: LeaderContact) {
    this.#state = state
    this.#storage = storage
    this.#contact = contact
  }

  onAppend(append: Append, nowMs: number): void {
    if (this.#rejectsStale(append)) return
    this.#contact.hear(append.term, append.from, nowMs)
    if (this.#follows(append)) {
      this.#accept(append, nowMs)
      return
    }
    const reply = this.#reply(append, false, this.#mayMatch(append.prevIndex))
    this.#storage.sendOnceSynced([{ to: append.from, message: reply }], nowMs)
  }

  /** True of a message of an older term, whose sender is told of the newer one. */
  #rejectsStale(message: Append | SnapshotChunk): boolean {
    const { term, log } = this.#state
    if (message.term >= term) return false
    this.#state.send(message.from, this.#reply(message, false, log.lastIndex))
    return true
  }

  /** True if this log holds the entry that goes before those of the leader. */
  #follows({ prevIndex, prevTerm }: Append): boolean {
    const { log } = this.#state
    if (prevIndex > log.lastIndex) return false
    return prevIndex < log.snapshot.index || log.termAt(prevIndex) === prevTerm
  }

  #accept(append: Append, nowMs: number): void {
    const { log, commit } = this.#state
    const { prevIndex, entries } = append
    const lastIndex = prevIndex + entries.length
    const firstNew = entries.find((entry) => entry.index > log.snapshot.index && log.termAt(entry.index) !== entry.term)
    const match = Math.max(lastIndex, Math.min(log.snapshot.index, commit))
    const then = [{ to: append.from, message: this.#reply(append, true, match) }]
    if (firstNew === undefined) this.#storage.sendOnceSynced(then, nowMs)
    else {
      const news = entries.filter((entry) => entry.index >= firstNew.index)
      this.#storage.append(news, then, nowMs)
    }
    this.#state.commitTo(Math.min(append.commit, lastIndex))
  }

  /** The highest index up to which this log may be that of a leader whose entry before `prevIndex` it does not hold. */
  #mayMatch(prevIndex: number): number {
    const { log, commit } = this.#state
    if (prevIndex > log.lastIndex) return log.lastIndex
    const term = log.termAt(prevIndex)
    let index = prevIndex - 1
    while (index > commit && log.termAt(index) === term) index -= 1
    return Math.max(commit, index)
  }

  onSnapshot(chunk: SnapshotChunk, nowMs: number): void {
    if (this.#rejectsStale(chunk)) return
    this.#contact.hear(chunk.term, chunk.from, nowMs)
    const { commit } = this.#state
    const accepted = [{ to: chunk.from, message: this.#reply(chunk, true, Math.max(chunk.index, commit)) }]
    if (chunk.index <= commit) {
      this.#storage.sendOnceSynced(accepted, nowMs)
      return
    }
    const snapshot = this.#receiver.add(chunk)
    if (snapshot === undefined) {
      this.#acknowledgeChunk(chunk)
      return
    }
    this.#state.log.install(snapshot)
    this.#state.commit = snapshot.index
    this.#state.adopt(snapshot.index, snapshot.state)
    this.#storage.rewrite(accepted, nowMs)
  }

  #acknowledgeChunk({ from, round, index }: SnapshotChunk): void {
    const { identity, term } = this.#state
    const receivedBytes = this.#receiver.bytes
    this.#state.send(from, { kind: 'snapshotReply', to: from, from: identity, term, round, index, receivedBytes })
  }

  #reply({ from, round }: Append | SnapshotChunk, ok: boolean, match: number): AppendReply {
    const { identity, term } = this.#state
    return { kind: 'appendReply', to: from, from: identity, round, term, ok, match }
  }
}
