/**
 * What a sequence of disk records adds up to: term, vote, snapshot and log entries. One image follows
 * what a node has handed to its disk, another what its disk has synced.
 */
import { DiskRecord } from '../../consensus/DiskRecord.js'
import type { Entry } from '../../consensus/Entry.js'

const decodedAtMost = 20_000
const decoded = new Map<string, DiskRecord>()

function decode(bytes: Uint8Array): DiskRecord {
  const key = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('latin1')
  const known = decoded.get(key)
  if (known !== undefined) return known
  const record = DiskRecord.decode(bytes)
  if (record === undefined) throw new Error('a record that was written cannot be read')
  if (decoded.size >= decodedAtMost) decoded.clear()
  decoded.set(key, record)
  return record
}

export class LogImage {
  identity = ''
  term = 0
  votedFor = ''
  snapshotIndex = 0
  snapshotTerm = 0
  #entries: Entry[] = []

  static of(records: readonly Uint8Array[]): LogImage {
    const image = new LogImage()
    image.append(records)
    return image
  }

  get lastIndex(): number {
    return this.snapshotIndex + this.#entries.length
  }

  /** Gives the records as read. */
  append(records: readonly Uint8Array[]): DiskRecord[] {
    const read = records.map(decode)
    for (const record of read) this.#take(record)
    return read
  }

  replace(records: readonly Uint8Array[]): DiskRecord[] {
    this.#entries = []
    this.snapshotIndex = 0
    this.snapshotTerm = 0
    return this.append(records)
  }

  entry(index: number): Entry | undefined {
    return this.#entries[index - this.snapshotIndex - 1]
  }

  termAt(index: number): number {
    return index === this.snapshotIndex ? this.snapshotTerm : (this.entry(index)?.term ?? 0)
  }

  /** True when an entry is in the log, or behind its snapshot. */
  holds(index: number, term: number): boolean {
    return index < this.snapshotIndex || (index <= this.lastIndex && this.termAt(index) === term)
  }

  /** The index of the last membership before this index, or of the snapshot that holds it. */
  membersBefore(index: number): number {
    const at = this.#entries.findLast((entry) => entry.type === 'members' && entry.index < index)
    return at?.index ?? this.snapshotIndex
  }

  #take(record: DiskRecord): void {
    switch (record.kind) {
      case 'identity':
        this.identity = record.identity
        break
      case 'term':
        this.term = record.term
        this.votedFor = record.ballot
        break
      case 'snapshot':
        this.snapshotIndex = record.index
        this.snapshotTerm = record.term
        this.#entries = []
        break
      case 'founding':
        break
      case 'entry':
        this.#entries.length = Math.min(this.#entries.length, Math.max(0, record.index - this.snapshotIndex - 1))
        this.#entries.push(record)
        break
      case 'founding':
        break
    }
  }
}
