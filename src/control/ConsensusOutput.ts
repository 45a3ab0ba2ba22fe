/**
 * Carries out what a step of the consensus log asks for: messages, writes, and a snapshot that takes the place of the
 * state. It keeps count of the log's size on disk and compacts a long one.
 */
import type { RaftOutput } from '../consensus/RaftOutput.js'
import { ReplicatedState } from '../consensus/ReplicatedState.js'
import type { ControlContext } from './ControlContext.js'

/** What the write-ahead log adds to a record. */
const recordHeadBytes = 8

export class ConsensusOutput {
  readonly #context: ControlContext
  #logBytes: number

  constructor(context: ControlContext, logBytes: number) {
    this.#context = context
    this.#logBytes = logBytes
  }

  /** The size of the log on disk. */
  get logBytes(): number {
    return this.#logBytes
  }

  carryOut({ says, sends, writes, adopted }: RaftOutput): void {
    for (const sentence of says) this.#context.say('raft', sentence)
    for (const { to, message } of sends) this.#context.send(this.#context.addressOf(to), message)
    for (const write of writes) this.#write(write)
    if (adopted !== undefined) this.#adopt(adopted)
  }

  #write({ records, rewrite, then }: RaftOutput['writes'][number]): void {
    const bytes = records.reduce((sum, record) => sum + record.length + recordHeadBytes, 0)
    this.#logBytes = rewrite ? bytes : this.#logBytes + bytes
    const addressed = then.map(({ to, message }) => ({ toAddress: this.#context.addressOf(to), message }))
    this.#context.emit({ kind: 'write', records, rewrite, then: addressed })
  }

  /** A snapshot takes the place of the state. */
  #adopt({ index, state }: NonNullable<RaftOutput['adopted']>): void {
    this.#context.replicatedState = state.length === 0 ? new ReplicatedState() : ReplicatedState.restore(state)
    this.#context.applied = index
  }

  compactIfLong(nowMs: number): void {
    const { plan, applied, raft, replicatedState } = this.#context
    if (this.#logBytes <= plan.rewriteBytes || applied === 0) return
    raft.compact(applied, replicatedState.save(), nowMs)
    this.#logBytes = 0
  }
}
