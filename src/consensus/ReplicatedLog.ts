/**
 * The replicated log as one member holds it in memory: a snapshot and the entries after it. The members in force
 * are those of the newest entry that names them, committed or not.
 */
import { z } from 'zod'
import type { Entry } from './Entry.js'
import { Member } from './Member.js'
import type { Snapshot } from './Snapshot.js'

const Members = z.array(Member)

export class ReplicatedLog {
  #snapshot: Snapshot = { index: 0, term: 0, members: [], state: new Uint8Array() }
  #entries: Entry[] = []
  #members: readonly Member[] = []
  #membersIndex = 0

  static readMembers(text: string): Member[] {
    return Members.parse(JSON.parse(text))
  }

  get snapshot(): Snapshot {
    return this.#snapshot
  }

  /** The entries after the snapshot. */
  get entries(): readonly Entry[] {
    return this.#entries
  }

  get lastIndex(): number {
    return this.#snapshot.index + this.#entries.length
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex)
  }

  get members(): readonly Member[] {
    return this.#members
  }

  /** The index of the entry, or of the snapshot, that names the members in force. */
  get membersIndex(): number {
    return this.#membersIndex
  }

  /** The term of the entry at an index; 0 where it is not held. */
  termAt(index: number): number {
    return index === this.#snapshot.index ? this.#snapshot.term : (this.entryAt(index)?.term ?? 0)
  }

  entryAt(index: number): Entry | undefined {
    return this.#entries[index - this.#snapshot.index - 1]
  }

  /** Entries from an index on, until they hold `limitBytes`; at least one, where there is one. */
  batch(fromIndex: number, limitBytes: number): Entry[] {
    const batch: Entry[] = []
    let bytes = 0
    for (let index = fromIndex; index <= this.lastIndex && bytes < limitBytes; index++) {
      const entry = this.entryAt(index)
      if (entry === undefined) break
      batch.push(entry)
      bytes += entry.bytes.length
    }
    return batch
  }

  /** Adds entries; whatever stood at the first one's index and after it gives way. */
  append(entries: readonly Entry[]): void {
    const first = entries[0]
    if (first === undefined) return
    this.#entries.length = Math.max(0, first.index - this.#snapshot.index - 1)
    if (this.#membersIndex >= first.index) this.#findMembers()
    for (const entry of entries) {
      this.#entries.push(entry)
      if (entry.type === 'members') this.#adoptMembers(entry)
    }
  }

  /** Puts a snapshot in the place of what it covers; entries after it stay where they follow from it. */
  install(snapshot: Snapshot): void {
    const follows = this.termAt(snapshot.index) === snapshot.term && snapshot.index <= this.lastIndex
    this.#entries = follows ? this.#entries.slice(snapshot.index - this.#snapshot.index) : []
    this.#snapshot = snapshot
    this.#findMembers()
  }

  /** Makes a snapshot of the state at an index that is held. */
  compact(index: number, state: Uint8Array): void {
    const snapshot = { index, term: this.termAt(index), members: [...this.membersAt(index)], state }
    this.#entries = this.#entries.slice(index - this.#snapshot.index)
    this.#snapshot = snapshot
    this.#membersIndex = Math.max(this.#membersIndex, index)
  }

  /** The members that were in force at an index which is held. */
  membersAt(index: number): readonly Member[] {
    for (let at = index; at > this.#snapshot.index; at--) {
      const entry = this.entryAt(at)
      if (entry?.type === 'members') return ReplicatedLog.readMembers(Buffer.from(entry.bytes).toString())
    }
    return this.#snapshot.members
  }

  #findMembers(): void {
    this.#members = this.#snapshot.members
    this.#membersIndex = this.#snapshot.index
    const newest = this.#entries.findLast((entry) => entry.type === 'members')
    if (newest !== undefined) this.#adoptMembers(newest)
  }

  #adoptMembers(entry: Entry): void {
    this.#members = ReplicatedLog.readMembers(Buffer.from(entry.bytes).toString())
    this.#membersIndex = entry.index
  }
}
