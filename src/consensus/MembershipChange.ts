/**
 * One change of the members, with the sentence that the log tells operators.
 */
import type { Member } from './Member.js'

export interface MembershipChange {
  reason: string
  members: Member[]
}
