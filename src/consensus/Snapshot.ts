/**
 * What stands for the entries of the replicated log up to an index: the state that they add up to and the members
 * at that point.
 */
import type { Member } from './Member.js'

export interface Snapshot {
  index: number
  term: number
  members: Member[]
  state: Uint8Array
}
