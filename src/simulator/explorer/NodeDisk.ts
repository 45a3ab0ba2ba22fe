/**
 * The disk of a node under exploration: writes are synced one after the other, and what a crash leaves of
 * the unsynced ones is for the schedule to say. A rewrite is there whole or not at all.
 */
import type { RaftOutput } from '../../consensus/RaftOutput.js'

type Write = RaftOutput['writes'][number]

export class NodeDisk {
  synced: Uint8Array[] = []
  stalledUntilMs = 0
  slowUntilMs = 0
  slowByMs = 0
  #freeAtMs = 0
  #pending: Write[] = []

  /** Takes a write in, and gives when it will be synced. */
  begin(write: Write, tookMs: number, nowMs: number): number {
    this.#pending.push(write)
    const slowMs = nowMs < this.slowUntilMs ? this.slowByMs : 0
    const startMs = Math.max(this.#freeAtMs, nowMs, this.stalledUntilMs)
    this.#freeAtMs = write.records.length === 0 ? startMs : startMs + tookMs + slowMs
    return this.#freeAtMs
  }

  /** The oldest pending write is synced. */
  sync(): Write | undefined {
    const write = this.#pending.shift()
    if (write !== undefined) this.#keep(write)
    return write
  }

  /** The process is gone: of what is unsynced so many records stay. */
  crash(kept: (unsynced: number) => number): void {
    const unsynced = this.#pending.reduce((sum, write) => sum + (write.rewrite ? 1 : write.records.length), 0)
    let left = kept(unsynced)
    for (const write of this.#pending) {
      if (left === 0) break
      if (write.rewrite) {
        this.#keep(write)
        left -= 1
      } else {
        this.synced = [...this.synced, ...write.records.slice(0, left)]
        left -= Math.min(left, write.records.length)
      }
    }
    this.#pending = []
    this.#freeAtMs = 0
  }

  wipe(): void {
    this.crash(() => 0)
    this.synced = []
  }

  #keep(write: Write): void {
    this.synced = write.rewrite ? [...write.records] : [...this.synced, ...write.records]
  }
}
