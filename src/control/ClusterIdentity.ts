/**
 * Which cluster ("system") this node belongs to: the first leader of a new cluster gives it its identity, and each node
 * writes that down beside its log, so that it can tell nodes of another cluster.
 */
import type { ControlContext } from './ControlContext.js'

export class ClusterIdentity {
  readonly #context: ControlContext
  #proposeAtMs = -Infinity

  constructor(context: ControlContext) {
    this.#context = context
  }

  /** True of a node that belongs to another cluster: one that was founded again from this one's disks, or that this one was. */
  isForeign(system: string): boolean {
    return system !== '' && this.#context.system !== '' && system !== this.#context.system
  }

  /** The leader's tick: gives a new cluster its identity. */
  bootstrap(nowMs: number): void {
    const { raft, timings } = this.#context
    if (this.#inTable !== undefined || !raft.settled || nowMs < this.#proposeAtMs) return
    this.#proposeAtMs = nowMs + timings.electionMs
    this.#context.propose({ kind: 'found', system: raft.identity, again: false }, nowMs)
  }

  /** Once taken in, a new node writes down whose it is, before it has applied the row that says so: it may be left out again. */
  join(system: string, nowMs: number): void {
    const { raft, isNetwork } = this.#context
    if (!isNetwork || system === '' || raft.system !== '') return
    if (raft.members.some((one) => one.identity === raft.identity)) raft.belong(system, nowMs)
  }

  /** The table changed. */
  followTable(nowMs: number): void {
    const system = this.#inTable
    if (system !== undefined) this.#context.raft.belong(system, nowMs)
  }

  get #inTable(): string | undefined {
    return this.#context.replicatedState.copy.get('system')
  }
}
