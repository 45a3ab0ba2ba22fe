/**
 * A snapshot on its way to one member, in chunks: the next goes out when the last one arrived, so that heartbeats
 * pass between them, and one that stays unanswered is sent again after a time that doubles. The snapshot that a
 * transfer began with is sent to its end, though a newer one may be made meanwhile.
 */
import type { Snapshot } from './Snapshot.js'

/** 150 ms on a link of 7 Mbit/s. */
const chunkBytes = 128 * 1024
const longestWaitRatio = 8

export interface SnapshotTransfer {
  readonly snapshot: Snapshot
  /** The next chunk, or nothing while the last one may still be on its way. */
  due(nowMs: number): { offset: number; bytes: Uint8Array } | undefined
  /** The member holds so many bytes of it. */
  received(bytes: number): void
}

export function SnapshotTransfer(snapshot: Snapshot, resendMs: number): SnapshotTransfer {
  let offset = 0
  let waitMs = resendMs
  let sentMs = -Infinity
  return {
    snapshot,
    due(nowMs) {
      if (nowMs - sentMs < waitMs) return undefined
      if (sentMs > -Infinity) waitMs = Math.min(2 * waitMs, longestWaitRatio * resendMs)
      sentMs = nowMs
      return { offset, bytes: snapshot.state.subarray(offset, offset + chunkBytes) }
    },
    received(bytes) {
      if (bytes === offset) return
      offset = Math.min(bytes, snapshot.state.length)
      waitMs = resendMs
      sentMs = -Infinity
    },
  }
}
