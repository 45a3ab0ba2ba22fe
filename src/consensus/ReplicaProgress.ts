/**
 * How far one member has come, as its leader knows it, and what is on its way there. At most a few batches go out
 * unanswered, so that heartbeats never wait behind a long queue of entries.
 */
import type { Snapshot } from './Snapshot.js'
import { SnapshotTransfer } from './SnapshotTransfer.js'

const mostBatches = 4

export class ReplicaProgress {
  /** The highest index that the member surely has on disk. */
  match = 0
  /** The next index to send. */
  next: number
  /** The newest round of heartbeats that was answered. */
  round = 0
  /** When it was last heard, by the leader's clock. */
  heardMs: number
  #transfer: SnapshotTransfer | undefined
  /** The last index of each batch that was sent and not answered. */
  #underWay: number[] = []

  constructor(next: number, heardMs: number) {
    this.next = next
    this.heardMs = heardMs
  }

  get transfer(): SnapshotTransfer | undefined {
    return this.#transfer
  }

  get mayTakeEntries(): boolean {
    return this.#underWay.length < mostBatches
  }

  /** The transfer that brings this member what is no longer held as entries, if it needs one. */
  transferOf(snapshot: Snapshot, resendMs: number): SnapshotTransfer | undefined {
    if (this.#transfer === undefined && this.next <= snapshot.index) this.#transfer = SnapshotTransfer(snapshot, resendMs)
    return this.#transfer
  }

  sent(entries: number): void {
    if (entries === 0) return
    this.next += entries
    this.#underWay.push(this.next - 1)
  }

  accepted(match: number): void {
    this.match = Math.max(this.match, match)
    this.next = Math.max(this.next, this.match + 1)
    this.#underWay = this.#underWay.filter((index) => index > this.match)
    if (this.#transfer !== undefined && this.match >= this.#transfer.snapshot.index) this.#transfer = undefined
  }

  /** The member lacks what goes before the entries that were sent; it may match up to an index. */
  rejected(mayMatch: number): void {
    this.next = Math.max(this.match, Math.min(this.next - 1, mayMatch)) + 1
    this.#underWay = []
  }
}
