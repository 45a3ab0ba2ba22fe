/**
 * The operations of operators that are under way at a core machine: writes that wait for the log and for
 * their delivery, reads that wait for the leader to be sure, and what is passed on to the leader. A write
 * that is not acknowledged in time is undecided, never turned away.
 */
import type { Timings } from '../common/Timings.js'
import { Tree } from '../common/Tree.js'
import type { Raft } from '../consensus/Raft.js'
import type { Command } from '../consensus/Command.js'
import type { Outcome } from '../consensus/Outcome.js'
import type { ReplicatedState } from '../consensus/ReplicatedState.js'
import type { PeerDirectory } from '../consensus/PeerDirectory.js'
import type { Message } from '../transport/Message.js'
import type { Operation } from './Operation.js'

interface Pending {
  operation: Operation
  dueMs: number
  askedMs: number
  respondTo: string | undefined
  proposed: boolean
  /** The term in which a write to the network or a zone was put to the log. */
  proposedTerm: number
}
/** What the book needs of the machine that it belongs to. */
interface Host {
  readonly raft: Raft
  readonly replicatedState: ReplicatedState
  readonly directory: PeerDirectory
  readonly leading: boolean
  readonly leaderAddress: string
  readonly dispatches: boolean
  propose: (command: Command, nowMs: number) => void
  send: (toAddress: string, message: Message) => void
  respond: (id: string, status: number, stamp: number, text: string) => void
  delivered: (outcome: Outcome, nowMs: number) => boolean
  nodes: (nowMs: number) => unknown
  servers: () => unknown
  leaves: () => unknown
  placement: (nowMs: number) => unknown
}

export class OperatorsBook {
  readonly #timings: Timings
  readonly #host: Host
  readonly #pending = new Map<string, Pending>()

  constructor(timings: Timings, host: Host) {
    this.#timings = timings
    this.#host = host
  }

  get open(): number {
    return this.#pending.size
  }

  tick(nowMs: number): void {
    for (const [id, pending] of this.#pending) {
      if (nowMs >= pending.dueMs)
        this.#respond(id, 504, 0, JSON.stringify({ outcome: 'undecided', operation: pending.operation.operation }))
      else if (!pending.proposed || nowMs - pending.askedMs > this.#timings.electionMs) this.#push(id, pending, nowMs)
    }
  }

  /** A read was lost with the leadership that it waited for; it is asked again. */
  lost(id: string): void {
    const pending = this.#pending.get(id)
    if (pending !== undefined) pending.proposed = false
  }

  /** Another core machine answered what was passed on to it. */
  operated(message: Extract<Message, { kind: 'operated' }>): void {
    const pending = this.#pending.get(message.id)
    if (pending !== undefined && (pending.respondTo === undefined || pending.operation.action === 'placement')) {
      this.#respond(message.id, message.status, message.stamp, message.text)
    }
  }

  operate(id: string, operation: Operation, respondTo: string | undefined, nowMs: number): void {
    if (this.#pending.has(id)) return
    if (operation.branch === 'passed on' && respondTo !== undefined) {
      this.#host.send(respondTo, {
        kind: 'operated',
        id,
        status: 200,
        stamp: this.#host.replicatedState.charterStamp,
        text: JSON.stringify(this.#host.placement(nowMs)),
      })
      return
    }
    const pending: Pending = { operation, dueMs: nowMs + operation.waitMs, askedMs: -Infinity, respondTo, proposed: false, proposedTerm: 0 }
    this.#pending.set(id, pending)
    this.#push(id, pending, nowMs)
  }

  /** Takes a pending operation one step on: to the log or a read here, or to the leader. */
  #push(id: string, pending: Pending, nowMs: number): void {
    const { operation } = pending
    if (!this.#host.leading) {
      if (pending.respondTo !== undefined) {
        this.#pending.delete(id)
        return
      }
      if (nowMs - pending.askedMs < this.#timings.heartbeatMs) return
      pending.askedMs = nowMs
      this.#host.send(this.#host.leaderAddress, { kind: 'operate', id, ...operation, waitMs: pending.dueMs - nowMs })
      return
    }
    pending.askedMs = nowMs
    switch (operation.action) {
      case 'charter.put':
      case 'charter.patch':
      case 'charter.rollback': {
        if (pending.proposed || this.#host.replicatedState.outcome(operation.operation) !== undefined) break
        const action = operation.action === 'charter.put' ? 'put' : operation.action === 'charter.patch' ? 'patch' : 'rollback'
        pending.proposed = true
        this.#host.propose(
          {
            kind: 'charter',
            operation: operation.operation,
            action,
            branch: operation.branch,
            text: operation.text,
            ifMatch: operation.ifMatch,
          },
          nowMs,
        )
        break
      }
      case 'seat.retire': {
        if (pending.proposed || this.#host.replicatedState.outcome(operation.operation) !== undefined) break
        pending.proposed = true
        this.#host.propose({ kind: 'seat', name: operation.text, role: '', zone: '', retired: true, operation: operation.operation }, nowMs)
        break
      }
      case 'network.put':
      case 'network.patch':
      case 'zone.empty':
      case 'zone.fill': {
        if (pending.proposedTerm === this.#host.raft.term || this.#outcome(id, operation) !== undefined) break
        pending.proposed = true
        pending.proposedTerm = this.#host.raft.term
        this.#host.propose(OperatorsBook.#command(id, operation), nowMs)
        break
      }
      default:
        if (pending.proposed) break
        pending.proposed = true
        this.#host.raft.read(id, nowMs)
    }
  }

  static #command(id: string, operation: Operation): Command {
    const { action, branch, text, ifMatch } = operation
    if (action === 'zone.empty' || action === 'zone.fill')
      return { kind: 'zone', zone: branch, emptied: action === 'zone.empty', proposal: id }
    return {
      kind: 'network',
      operation: operation.operation,
      proposal: id,
      action: action === 'network.put' ? 'put' : 'patch',
      text,
      ifMatch,
    }
  }

  /** How a write ended; a failed one of a network, and one of a zone, is known by its own request alone. */
  #outcome(id: string, { action, operation }: Operation): Outcome | undefined {
    if (action === 'zone.empty' || action === 'zone.fill') return this.#host.replicatedState.outcome(id)
    if (operation === '' || action === 'outcome') return undefined
    const known = this.#host.replicatedState.outcome(operation)
    return known ?? (action === 'network.put' || action === 'network.patch' ? this.#host.replicatedState.outcome(id) : undefined)
  }

  /** Answers the writes whose outcome is known and, where they took effect, obeyed everywhere. */
  finish(nowMs: number): void {
    if (!this.#host.leading || !this.#host.raft.settled) return
    for (const [id, { operation }] of this.#pending) {
      const outcome = this.#outcome(id, operation)
      if (outcome === undefined) continue
      const revision = operation.action.startsWith('network.') ? (this.#host.replicatedState.network?.revision ?? 0) : undefined
      if (outcome.status !== 200)
        this.#respond(id, outcome.status, outcome.stamp, JSON.stringify({ errors: outcome.errors, stamp: outcome.stamp, revision }))
      else if (operation.action === 'seat.retire' || this.#host.delivered(outcome, nowMs))
        this.#respond(id, 200, outcome.stamp, JSON.stringify({ stamp: outcome.stamp, operation: operation.operation }))
    }
  }

  #respond(id: string, status: number, stamp: number, text: string): void {
    const pending = this.#pending.get(id)
    if (pending === undefined) return
    this.#pending.delete(id)
    if (pending.respondTo === undefined) this.#host.respond(id, status, stamp, text)
    else this.#host.send(pending.respondTo, { kind: 'operated', id, status, stamp, text })
  }

  readable(id: string, nowMs: number): void {
    const operation = this.#pending.get(id)?.operation
    if (operation === undefined) return
    const stamp = this.#host.replicatedState.charterStamp
    const json = (status: number, value: unknown) => {
      this.#respond(id, status, stamp, JSON.stringify(value))
    }
    switch (operation.action) {
      case 'charter.get': {
        const wanted =
          operation.text === ''
            ? this.#host.replicatedState.texts.at(-1)
            : this.#host.replicatedState.texts.find((one) => one.stamp === Number(operation.text))
        if (wanted === undefined) json(404, { errors: ['no charter is kept under this stamp'] })
        else if (operation.branch === 'sent') this.#respond(id, 200, wanted.stamp, wanted.text)
        else if (operation.branch === '') this.#respond(id, 200, wanted.stamp, this.#host.replicatedState.whole(wanted.stamp) ?? '')
        else {
          const branch = Tree.at(Tree.read(this.#host.replicatedState.whole(wanted.stamp) ?? ''), operation.branch.split('.'))
          if (branch === undefined) json(404, { errors: [`${operation.branch}: not in the charter`] })
          else this.#respond(id, 200, wanted.stamp, `${JSON.stringify(branch, null, 2)}\n`)
        }
        break
      }
      case 'network.get': {
        const { network, copy } = this.#host.replicatedState
        if (network === undefined) json(404, { errors: ['there is no network yet'] })
        else this.#respond(id, 200, copy.stampOf('network'), JSON.stringify(network))
        break
      }
      case 'charter.history':
        json(
          200,
          this.#host.replicatedState.texts.map(({ stamp: at, action, branch, operation: name }) => ({
            stamp: at,
            action,
            branch,
            operation: name,
          })),
        )
        break
      case 'charter.leaves':
        json(200, this.#host.leaves())
        break
      case 'outcome': {
        const outcome = this.#host.replicatedState.outcome(operation.text)
        if (outcome === undefined) json(404, { outcome: 'unknown', operation: operation.text })
        else
          json(200, {
            outcome: outcome.status !== 200 ? 'turnedAway' : this.#host.delivered(outcome, nowMs) ? 'done' : 'undecided',
            ...outcome,
          })
        break
      }
      case 'nodes':
        json(200, this.#host.nodes(nowMs))
        break
      case 'servers':
        json(200, this.#host.servers())
        break
      case 'placement': {
        const duty = this.#host.replicatedState.duty('dispatcher')
        if (duty !== undefined && !this.#host.dispatches && operation.branch !== 'passed on') {
          const holder = this.#host.directory.get(duty.holder)
          if (holder !== undefined) {
            this.#host.send(holder.address, { kind: 'operate', id, ...operation, branch: 'passed on' })
            break
          }
        }
        json(200, this.#host.placement(nowMs))
        break
      }
      default:
        json(400, { errors: ['not a read'] })
    }
  }
}
