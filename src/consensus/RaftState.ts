/**
 * What the parts of one Raft member share: its term and vote, its role, its log with what is committed and applied of it,
 * and the output of the step that is under way.
 */
import type { Message } from '../transport/Message.js'
import type { Member } from './Member.js'
import type { RaftOutput } from './RaftOutput.js'
import { ReplicatedLog } from './ReplicatedLog.js'

export class RaftState {
  /** Names the data folder; empty until the disk was read or the first identity made. */
  identity = ''
  /** The system that this disk belongs to, once it is known. */
  system = ''
  term = 0
  votedFor = ''
  phase: 'follower' | 'preCandidate' | 'candidate' | 'leader' = 'follower'
  /** The identity of the leader; empty while none is known. */
  leader = ''
  /** The last committed index. */
  commit = 0
  /** The last index that was handed out to be applied. */
  applied = 0
  readonly log = new ReplicatedLog()
  #output = RaftState.#emptyOutput()

  static #emptyOutput(): RaftOutput {
    return { sends: [], writes: [], applied: [], adopted: undefined, readable: [], lostReads: [], says: [] }
  }

  /** What the step that is under way has asked for so far. */
  get output(): RaftOutput {
    return this.#output
  }

  takeOutput(): RaftOutput {
    const output = this.#output
    this.#output = RaftState.#emptyOutput()
    return output
  }

  get members(): readonly Member[] {
    return this.log.members
  }

  get voters(): Member[] {
    return this.log.members.filter((one) => one.voter)
  }

  /** True while a change of the members is not committed. */
  get changing(): boolean {
    return this.log.membersIndex > this.commit
  }

  /** True once an entry of this leader's own term is committed. */
  get settled(): boolean {
    return this.phase === 'leader' && this.log.termAt(this.commit) === this.term
  }

  send(to: string, message: Message): void {
    this.#output.sends.push({ to, message })
  }

  say(sentence: string): void {
    this.#output.says.push(sentence)
  }

  /** Entries up to an index are committed: those that the log holds are handed out to be applied. */
  commitTo(index: number): void {
    this.commit = Math.max(this.commit, Math.min(index, this.log.lastIndex))
    while (this.applied < this.commit) {
      const entry = this.log.entryAt(this.applied + 1)
      if (entry === undefined) break
      this.applied += 1
      this.#output.applied.push(entry)
    }
  }

  /** A snapshot takes the place of what is applied. */
  adopt(index: number, snapshot: Uint8Array): void {
    this.applied = index
    this.#output.adopted = { index, state: snapshot }
  }
}
