/**
 * Hands each message that a control node receives to the part that it concerns.
 */
import type { Message } from '../transport/Message.js'
import type { ControlParts } from './ControlParts.js'
import { Operation } from './Operation.js'

export class ControlMessageRouter {
  readonly #parts: ControlParts

  constructor(parts: ControlParts) {
    this.#parts = parts
  }

  receive(from: string, fromAddress: string, message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'probe':
        this.#parts.discovery.onProbe(from, fromAddress, message, nowMs)
        break
      case 'probeReply':
        this.#parts.discovery.onProbeReply(from, fromAddress, message, nowMs)
        break
      case 'requestVote':
      case 'voteReply':
      case 'appendEntries':
      case 'appendReply':
      case 'installSnapshot':
      case 'snapshotReply':
      case 'timeoutNow':
        this.#parts.context.hearConsensus(message.from, fromAddress)
        this.#parts.raft.receive(message, nowMs)
        break
      case 'propose':
        if (this.#parts.context.leading) this.#parts.raft.propose(message.command, nowMs)
        break
      case 'leaving':
        this.#parts.membership.hearLeaving(message.identity, fromAddress, nowMs)
        break
      case 'leavingReply':
        this.#parts.membership.hearReleased(message.identity, message.released)
        break
      case 'renew':
        this.#onRenewal(from, fromAddress, message, nowMs)
        break
      case 'stand':
        this.#parts.schedulerRole.onVoteRequest(from, fromAddress, message, nowMs)
        break
      case 'ballot':
        this.#parts.schedulerRole.onVote(from, message, nowMs)
        break
      case 'dutyRenew':
        this.#parts.schedulerLeases.onRenewal(fromAddress, message, nowMs)
        break
      case 'dutyLease':
        this.#parts.schedulerRole.onLease(message)
        break
      case 'follow':
        this.#parts.context.sendAll(this.#parts.relay.followed(fromAddress, message, this.#parts.context.replicatedState.copy, nowMs))
        break
      case 'tally':
        this.#parts.schedulerRole.onLoadReport(fromAddress, message, nowMs)
        break
      case 'operate':
        this.#onOperate(fromAddress, message, nowMs)
        break
      case 'operated':
        this.#parts.requests.operated(message)
        break
      default:
    }
  }

  #onRenewal(from: string, fromAddress: string, renewal: Extract<Message, { kind: 'renew' }>, nowMs: number): void {
    const { role, zone, session } = renewal
    this.#parts.directory.heard({ name: from, address: fromAddress, role, zone, identity: session, empty: false }, nowMs)
    if (this.#parts.nodeLeases.renew(fromAddress, renewal, nowMs)) this.#parts.requests.finish(nowMs)
  }

  #onOperate(fromAddress: string, message: Extract<Message, { kind: 'operate' }>, nowMs: number): void {
    const operation = Operation.safeParse(message)
    if (operation.success) this.#parts.requests.passedOn(message, operation.data, fromAddress, nowMs)
  }
}
