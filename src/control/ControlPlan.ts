/**
 * The startup configuration of a control node, as its state machine needs it.
 */
import type { Policy } from '../placement/Policy.js'

export interface ControlPlan {
  name: string
  zone: string
  address: string
  seeds: readonly string[]
  /** Names of the configured members; empty for a network, whose members are whoever joins, and the seeds found where `bootstrap` is set. */
  seats: readonly string[]
  bootstrap: boolean
  /** The log is compacted when it has grown to this size on disk. */
  rewriteBytes: number
  /** Model servers reject orders of an older epoch than one that they have seen. */
  fenced: boolean
  policy: Policy
  /** The system that an empty node may join; any, if empty. */
  system: string
  /** Voters that a network's control plane is to have. */
  targetVoters: number
}
