/**
 * The size that the group of voters is to have, and the silences after which members are replaced.
 */
export interface MembershipLimits {
  /** Voters that the group is to have: twice the losses that must be borne, and one. */
  targetVoters: number
  maxVoters: number
  /** A member that was silent for so long may be lost. */
  doubtfulMs: number
  /** A voter that was silent for so long is replaced, if a learner can stand in. */
  lostMs: number
  /** A learner that was silent for so long is dropped. */
  goneMs: number
}
