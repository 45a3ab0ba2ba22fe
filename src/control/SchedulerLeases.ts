/**
 * The leader's side of the scheduler's role: it renews the lease of the node that holds the role, and ends the role of
 * one that was not heard for longer than a lease.
 */
import type { Message } from '../transport/Message.js'
import type { ControlContext } from './ControlContext.js'
import { schedulerDuty } from './schedulerDuty.js'

type Renewal = Extract<Message, { kind: 'dutyRenew' }>

/** Clocks may run at slightly other rates. */
const leaseMarginRatio = 1.1

export class SchedulerLeases {
  readonly #context: ControlContext
  /** When each holder was last heard, by the epoch of its role. */
  readonly #heardMs = new Map<number, number>()

  constructor(context: ControlContext) {
    this.#context = context
  }

  /** A new leader has heard from no holder. */
  begin(): void {
    this.#heardMs.clear()
  }

  /** Ends the role of a holder that is lost, or that may be replaced at once. */
  tick(nowMs: number): void {
    const { replicatedState, timings } = this.#context
    const duty = replicatedState.duty(schedulerDuty)
    if (duty === undefined) return
    const heardMs = this.#heardMs.get(duty.epoch)
    if (heardMs === undefined) {
      this.#heardMs.set(duty.epoch, this.#isOfFormerLife(duty) ? -Infinity : nowMs)
      return
    }
    const isLost = nowMs - heardMs > leaseMarginRatio * timings.dutyLeaseMs
    if (!isLost && !this.#mayTakeOver(duty.holder)) return
    this.#context.propose({ kind: 'vacate', duty: schedulerDuty, epoch: duty.epoch }, nowMs)
    this.#heardMs.set(duty.epoch, nowMs)
  }

  /** The holder asks for a lease. */
  onRenewal(fromAddress: string, { duty, epoch, sentMs }: Renewal, nowMs: number): void {
    if (this.renew(duty, epoch, nowMs)) this.#context.send(fromAddress, { kind: 'dutyLease', duty, epoch, sentMs })
  }

  /** Renews the lease of the node that holds a role in an epoch; false if this node may not, or another holds it. */
  renew(duty: string, epoch: number, nowMs: number): boolean {
    const { raft, replicatedState } = this.#context
    if (!raft.surelyLeads(nowMs) || replicatedState.duty(duty)?.epoch !== epoch) return false
    this.#heardMs.set(epoch, nowMs)
    return true
  }

  /** True of a role that this very node won before it was started again. */
  #isOfFormerLife(duty: { holder: string; address: string }): boolean {
    const { isNetwork, plan, life, raft } = this.#context
    return isNetwork && duty.holder === plan.name && duty.address !== life && raft.settled
  }

  /** Where servers check epochs an earlier leader's role is ended at once: whatever it still sends is rejected. */
  #mayTakeOver(holder: string): boolean {
    const { isNetwork, plan, raft } = this.#context
    return isNetwork && plan.fenced && raft.settled && holder !== plan.name
  }
}
