/**
 * What the leader knows of the members of the replicated log, by identity.
 */
export interface MemberHealth {
  /** Since when the leader has not heard from this member, in milliseconds; 0 for itself. */
  silentMs: (identity: string) => number
  /** True of a learner that holds all that is committed. */
  caughtUp: (identity: string) => boolean
  /** True of a member that asked to go. */
  leaving: (identity: string) => boolean
}
