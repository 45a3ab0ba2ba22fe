/**
 * What a node under exploration is given: virtual time, the parts that it is made of, what checks its
 * steps, and where its messages go.
 */
import type { Random } from '../../common/Random.js'
import type { Timings } from '../../common/Timings.js'
import type { Raft } from '../../consensus/Raft.js'
import type { RaftOutput } from '../../consensus/RaftOutput.js'
import type { Message } from '../../transport/Message.js'
import type { SimClock } from '../SimClock.js'
import type { AgreedLog } from './AgreedLog.js'
import type { ClusterNode } from './ClusterNode.js'
import type { ClusterParts } from './ClusterParts.js'
import type { Invariants } from './Invariants.js'

export interface ClusterNodeHost {
  readonly clock: SimClock
  readonly random: Random
  readonly timings: Timings
  readonly parts: ClusterParts
  readonly agreed: AgreedLog
  readonly invariants: Invariants
  readonly compactEvery: number
  send: (from: ClusterNode, to: string, message: Message) => void
  ticked: (raft: Raft, nowMs: number) => void
  collected: (node: ClusterNode, out: RaftOutput) => void
}
