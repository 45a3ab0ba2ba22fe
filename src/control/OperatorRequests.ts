/**
 * The operators' requests that are under way at a core machine: writes that wait for the log and for those
 * who must adopt them, reads that wait for the leader to be sure, and what is passed on to the leader.
 *
 * Each request ends before its caller would try elsewhere: after its own patience, or sooner where no leader
 * is heard, it is answered "undecided", which is no refusal; and once its caller is gone it is dropped. Only
 * a leader judges, by entries that are committed and applied. A request's id holds the life of its node, so
 * an answer to an earlier life finds nothing here.
 */
import type { Timings } from '../common/Timings.js'
import { Tree } from '../common/Tree.js'
import type { Command } from '../consensus/Command.js'
import type { Outcome } from '../consensus/Outcome.js'
import type { Settlement } from '../consensus/Settlement.js'
import type { Message } from '../transport/Message.js'
import type { ControlContext } from './ControlContext.js'
import type { Operation } from './Operation.js'

interface Pending {
  readonly operation: Operation
  readonly dueMs: number
  /** The node that passed the request on; undefined where its caller is connected here. */
  readonly respondTo: string | undefined
  /** The log index that the caller's node had applied when the request came in. */
  readonly basis: number
  /** When the request was last put to the log here or passed on, and to whom. */
  askedMs: number
  askedAddress: string
  proposed: boolean
  /** The term in which a write to the network or a zone was put to the log. */
  proposedTerm: number
  /** How an entry of this very request ended, where it did not take effect or changes a zone. */
  outcome: Outcome | undefined
  /** Since when no leader is heard. */
  leaderlessMs: number | undefined
}
type Operate = Extract<Message, { kind: 'operate' }>
/** What a node knows that answers depend on. */
interface Reports {
  /** True while this node runs the placement scheduler. */
  readonly dispatches: boolean
  /** True once all who must adopt a change have adopted it, or surely stopped. */
  delivered: (outcome: Outcome, nowMs: number) => boolean
  nodes: (nowMs: number) => unknown
  servers: () => unknown
  leaves: () => unknown
  placement: (nowMs: number) => unknown
}
const undecided = 504
const largeBytes = 4096

export class OperatorRequests {
  readonly #timings: Timings
  readonly #context: ControlContext
  readonly #reports: Reports
  readonly #pending = new Map<string, Pending>()

  constructor(context: ControlContext, reports: Reports) {
    this.#context = context
    this.#reports = reports
    this.#timings = context.timings
  }

  get open(): number {
    return this.#pending.size
  }

  tick(nowMs: number): void {
    for (const [id, pending] of this.#pending) {
      if (this.#ends(pending, nowMs)) this.#leaveUndecided(id, pending.operation)
      else if (!pending.proposed || nowMs - pending.askedMs > this.#timings.electionMs) this.#push(id, pending, nowMs)
    }
  }

  get #leaderless(): boolean {
    return !this.#context.leading && this.#context.leaderAddress === ''
  }

  #ends(pending: Pending, nowMs: number): boolean {
    pending.leaderlessMs = this.#leaderless ? (pending.leaderlessMs ?? nowMs) : undefined
    if (nowMs >= pending.dueMs) return true
    return pending.leaderlessMs !== undefined && nowMs - pending.leaderlessMs >= pending.operation.leaderMs
  }

  #leaveUndecided(id: string, { operation }: Operation): void {
    this.#respond(id, undecided, 0, JSON.stringify({ outcome: 'undecided', operation }))
  }

  /** A read was lost with the leadership that it waited for; it is asked again. */
  lost(id: string): void {
    const pending = this.#pending.get(id)
    if (pending !== undefined) pending.proposed = false
  }

  /** The caller is gone: what was not yet put to the log never will be by this node. */
  cancel(callerId: string): void {
    this.#pending.delete(this.#requestIdOf(callerId))
  }

  /** The name of a caller's request among all nodes and their lives. */
  #requestIdOf(callerId: string): string {
    return `${this.#context.life}/${callerId}`
  }

  #callerIdOf(requestId: string): string {
    return requestId.slice(this.#context.life.length + 1)
  }

  /** Another core machine answered what was passed on to it. */
  operated(message: Extract<Message, { kind: 'operated' }>): void {
    const pending = this.#pending.get(message.id)
    if (pending !== undefined && (pending.respondTo === undefined || pending.operation.action === 'placement')) {
      this.#respond(message.id, message.status, message.stamp, message.text)
    }
  }

  /** A caller's request came in at this node. */
  operate(callerId: string, operation: Operation, nowMs: number): void {
    this.#begin(this.#requestIdOf(callerId), operation, this.#context.applied, undefined, nowMs)
  }

  /** Another node passed a request on. */
  passedOn(message: Operate, operation: Operation, fromAddress: string, nowMs: number): void {
    const { id, basis } = message
    if (this.#pending.has(id)) return
    if (operation.branch === 'passed on') {
      this.#context.send(fromAddress, {
        kind: 'operated',
        id,
        status: 200,
        stamp: this.#context.replicatedState.charterStamp,
        text: JSON.stringify(this.#reports.placement(nowMs)),
      })
      return
    }
    this.#begin(id, operation, basis, fromAddress, nowMs)
  }

  #begin(id: string, operation: Operation, basis: number, respondTo: string | undefined, nowMs: number): void {
    if (this.#pending.has(id)) return
    const pending: Pending = {
      operation,
      dueMs: nowMs + operation.waitMs,
      respondTo,
      basis,
      askedMs: -Infinity,
      askedAddress: '',
      proposed: false,
      proposedTerm: 0,
      outcome: undefined,
      leaderlessMs: this.#leaderless ? nowMs : undefined,
    }
    this.#pending.set(id, pending)
    this.#push(id, pending, nowMs)
  }

  /** Takes a pending request one step on: to the log or a read here, or to the leader. */
  #push(id: string, pending: Pending, nowMs: number): void {
    if (!this.#context.leading) {
      this.#passOn(id, pending, nowMs)
      return
    }
    pending.askedMs = nowMs
    switch (pending.operation.action) {
      case 'charter.put':
      case 'charter.patch':
      case 'charter.rollback':
      case 'seat.retire':
        this.#proposeNamed(pending, nowMs)
        break
      case 'network.put':
      case 'network.patch':
      case 'zone.empty':
      case 'zone.fill':
        this.#proposeOnce(id, pending, nowMs)
        break
      default:
        if (pending.proposed) break
        pending.proposed = true
        this.#context.raft.read(id, nowMs)
    }
  }

  /** To the leader: at once where it is another than was asked before, else after a silence, a longer one for a large body. */
  #passOn(id: string, pending: Pending, nowMs: number): void {
    if (pending.respondTo !== undefined) {
      this.#pending.delete(id)
      return
    }
    const { leaderAddress } = this.#context
    if (leaderAddress === '') return
    const silenceMs = pending.operation.text.length > largeBytes ? this.#timings.electionMs : this.#timings.heartbeatMs
    if (leaderAddress === pending.askedAddress && nowMs - pending.askedMs < silenceMs) return
    pending.askedMs = nowMs
    pending.askedAddress = leaderAddress
    const { operation, basis, dueMs } = pending
    this.#context.send(leaderAddress, { kind: 'operate', id, basis, ...operation, waitMs: dueMs - nowMs })
  }

  /** An operation that its caller named is put to the log unless its outcome is known. */
  #proposeNamed(pending: Pending, nowMs: number): void {
    const { action, operation, branch, text, ifMatch } = pending.operation
    if (pending.proposed || this.#context.replicatedState.outcome(operation) !== undefined) return
    pending.proposed = true
    if (action === 'seat.retire') {
      this.#context.propose({ kind: 'seat', name: text, role: '', zone: '', retired: true, operation }, nowMs)
      return
    }
    const charterAction = action === 'charter.put' ? 'put' : action === 'charter.patch' ? 'patch' : 'rollback'
    this.#context.propose({ kind: 'charter', operation, action: charterAction, branch, text, ifMatch }, nowMs)
  }

  /** A write to the network or a zone is put to the log once a term, until its outcome is known. */
  #proposeOnce(id: string, pending: Pending, nowMs: number): void {
    if (pending.proposedTerm === this.#context.raft.term || this.#outcome(pending) !== undefined) return
    pending.proposed = true
    pending.proposedTerm = this.#context.raft.term
    this.#context.propose(OperatorRequests.#command(id, pending), nowMs)
  }

  static #command(request: string, { operation: asked, basis }: Pending): Command {
    const { action, branch, text, ifMatch, operation } = asked
    if (action === 'zone.empty' || action === 'zone.fill')
      return { kind: 'zone', zone: branch, emptied: action === 'zone.empty', request, basis }
    return { kind: 'network', operation, request, basis, action: action === 'network.put' ? 'put' : 'patch', text, ifMatch }
  }

  /** An entry of a request of this node's was applied. */
  settle({ request, outcome }: Settlement): void {
    const pending = this.#pending.get(request)
    if (pending !== undefined) pending.outcome = outcome
  }

  /** How a write ended; whatever was refused, and all of a zone, is known by its own request alone. */
  #outcome({ operation: { action, operation }, outcome }: Pending): Outcome | undefined {
    switch (action) {
      case 'charter.put':
      case 'charter.patch':
      case 'charter.rollback':
      case 'seat.retire':
        return this.#context.replicatedState.outcome(operation)
      case 'network.put':
      case 'network.patch':
        return this.#context.replicatedState.networkTaken(operation) ?? outcome
      default:
        return outcome
    }
  }

  /** Answers the writes whose outcome is known and, where they took effect, obeyed everywhere. */
  finish(nowMs: number): void {
    if (!this.#context.leading || !this.#context.raft.settled) return
    for (const [id, pending] of this.#pending) {
      const { operation } = pending
      const outcome = this.#outcome(pending)
      if (outcome === undefined) continue
      const { status, stamp, errors } = outcome
      const revision = operation.action.startsWith('network.') ? (this.#context.replicatedState.network?.revision ?? 0) : undefined
      if (status === 503) this.#leaveUndecided(id, operation)
      else if (status !== 200) this.#respond(id, status, stamp, JSON.stringify({ errors, stamp, revision }))
      else if (operation.action === 'seat.retire' || this.#reports.delivered(outcome, nowMs))
        this.#respond(id, 200, stamp, JSON.stringify({ stamp, operation: operation.operation }))
    }
  }

  #respond(id: string, status: number, stamp: number, text: string): void {
    const pending = this.#pending.get(id)
    if (pending === undefined) return
    this.#pending.delete(id)
    if (pending.respondTo === undefined) this.#context.emit({ kind: 'respond', id: this.#callerIdOf(id), status, stamp, text })
    else this.#context.send(pending.respondTo, { kind: 'operated', id, status, stamp, text })
  }

  readable(id: string, nowMs: number): void {
    const operation = this.#pending.get(id)?.operation
    if (operation === undefined) return
    const stamp = this.#context.replicatedState.charterStamp
    const json = (status: number, value: unknown) => {
      this.#respond(id, status, stamp, JSON.stringify(value))
    }
    switch (operation.action) {
      case 'charter.get': {
        const wanted =
          operation.text === ''
            ? this.#context.replicatedState.texts.at(-1)
            : this.#context.replicatedState.texts.find((one) => one.stamp === Number(operation.text))
        if (wanted === undefined) json(404, { errors: ['no charter is kept under this stamp'] })
        else if (operation.branch === 'sent') this.#respond(id, 200, wanted.stamp, wanted.text)
        else if (operation.branch === '') this.#respond(id, 200, wanted.stamp, this.#context.replicatedState.whole(wanted.stamp) ?? '')
        else {
          const branch = Tree.at(Tree.read(this.#context.replicatedState.whole(wanted.stamp) ?? ''), operation.branch.split('.'))
          if (branch === undefined) json(404, { errors: [`${operation.branch}: not in the charter`] })
          else this.#respond(id, 200, wanted.stamp, `${JSON.stringify(branch, null, 2)}\n`)
        }
        break
      }
      case 'network.get': {
        const { network, copy } = this.#context.replicatedState
        if (network === undefined) json(404, { errors: ['there is no network yet'] })
        else this.#respond(id, 200, copy.stampOf('network'), JSON.stringify(network))
        break
      }
      case 'charter.history':
        json(
          200,
          this.#context.replicatedState.texts.map(({ stamp: at, action, branch, operation: name }) => ({
            stamp: at,
            action,
            branch,
            operation: name,
          })),
        )
        break
      case 'charter.leaves':
        json(200, this.#reports.leaves())
        break
      case 'outcome': {
        const outcome = this.#context.replicatedState.outcome(operation.text)
        if (outcome === undefined) json(404, { outcome: 'unknown', operation: operation.text })
        else
          json(200, {
            outcome: outcome.status !== 200 ? 'turnedAway' : this.#reports.delivered(outcome, nowMs) ? 'done' : 'undecided',
            ...outcome,
          })
        break
      }
      case 'nodes':
        json(200, this.#reports.nodes(nowMs))
        break
      case 'servers':
        json(200, this.#reports.servers())
        break
      case 'placement': {
        const duty = this.#context.replicatedState.duty('dispatcher')
        if (duty !== undefined && !this.#reports.dispatches && operation.branch !== 'passed on') {
          const holder = this.#context.directory.get(duty.holder)
          if (holder !== undefined) {
            this.#context.send(holder.address, { kind: 'operate', id, basis: this.#context.applied, ...operation, branch: 'passed on' })
            break
          }
        }
        json(200, this.#reports.placement(nowMs))
        break
      }
      default:
        json(400, { errors: ['not a read'] })
    }
  }
}
