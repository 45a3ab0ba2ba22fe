/**
 * The parts that the explorer puts together into nodes. The tests pass broken variants of them to see
 * that the explorer finds each.
 */
import type { Random } from '../../common/Random.js'
import { Timings } from '../../common/Timings.js'
import { Raft } from '../../consensus/Raft.js'
import { ReplicatedState } from '../../consensus/ReplicatedState.js'

export interface ClusterParts {
  raft: (seat: string, timings: Timings, random: Random, disk: readonly Uint8Array[], nowMs: number) => Raft
  emptyState: () => ReplicatedState
  restoredState: (saved: Uint8Array) => ReplicatedState
}

export const ClusterParts: ClusterParts = {
  raft: (seat, timings, random, disk, nowMs) => new Raft(seat, timings, random, disk, nowMs),
  emptyState: () => new ReplicatedState(),
  restoredState: (saved) => ReplicatedState.restore(saved),
}
