/**
 * Clients of the cluster under exploration. They write and read one configuration through nodes that hold
 * themselves to be the leader, repeat a write that was not answered, and ask for the role and order under
 * it. What they saw is recorded as a history of calls.
 */
import { Command } from '../../consensus/Command.js'
import type { RaftOutput } from '../../consensus/RaftOutput.js'
import type { Call } from './Call.js'
import type { Cluster } from './Cluster.js'
import type { ClusterNode } from './ClusterNode.js'
import type { ScheduleEvent } from './ScheduleEvent.js'

type Of<K extends ScheduleEvent['kind']> = Extract<ScheduleEvent, { kind: K }>
interface Waiting {
  call: Call
  node: ClusterNode
  life: number
}
const role = 'dispatcher'
const order = 'order/server'
const findLeaderMs = 120
const findLeaderTries = 6
const attempts = 3

export class Clients {
  readonly calls: Call[] = []
  readonly #cluster: Cluster
  readonly #waiting = new Map<string, Waiting>()
  readonly #bulkBytes: number
  #asked = 0
  #epochs: number[] = []

  constructor(cluster: Cluster, bulkBytes: number) {
    this.#cluster = cluster
    this.#bulkBytes = bulkBytes
  }

  write(event: Of<'write'>): void {
    this.#withLeader(event.pick, (node) => {
      const at = ClientsView.revision(node)
      this.#attempt({ operation: event.id, revision: at + 1, ifMatch: event.conditional ? at : -1 }, event, node, attempts)
    })
  }

  read(event: Of<'read'>): void {
    this.#withLeader(event.pick, (node) => {
      const id = this.#call('read', { operation: event.id, revision: 0, ifMatch: -1 }, node)
      node.step((raft, nowMs) => {
        raft.read(id, nowMs)
      })
    })
  }

  role(event: Of<'role'>): void {
    this.#withLeader(event.pick, (node) => {
      const command = this.#roleCommand(event, node)
      node.step((raft, nowMs) => {
        raft.propose(Command.encode(command), nowMs)
      })
    })
  }

  /** A node took a step: reads that are ready and writes that are settled there get their answers. */
  watch(node: ClusterNode, out: RaftOutput): void {
    for (const id of out.lostReads) this.#waiting.delete(id)
    for (const id of out.readable) {
      const waiting = this.#waiting.get(id)
      if (waiting !== undefined)
        this.#answer(id, waiting, { status: 200, revision: ClientsView.revision(node), writer: ClientsView.writer(node) })
    }
    if (out.applied.length === 0 && out.adopted === undefined) return
    for (const [id, waiting] of this.#waiting) {
      if (waiting.call.kind !== 'write' || waiting.node !== node || waiting.life !== node.life) continue
      const settled = node.settlements.find((one) => one.request === id)?.outcome
      const outcome = node.state.networkTaken(waiting.call.operation) ?? settled
      if (outcome !== undefined) this.#answer(id, waiting, { status: outcome.status, revision: 0, writer: '' })
    }
  }

  #withLeader(pick: number, act: (node: ClusterNode) => void, tries = findLeaderTries): void {
    const { leaders, clock } = this.#cluster
    const node = leaders[pick % Math.max(1, leaders.length)]
    if (node !== undefined) act(node)
    else if (tries > 0)
      clock.after(findLeaderMs, () => {
        this.#withLeader(pick, act, tries - 1)
      })
  }

  #call(kind: Call['kind'], what: Pick<Call, 'operation' | 'revision' | 'ifMatch'>, node: ClusterNode): string {
    this.#asked += 1
    const id = `call ${String(this.#asked)}`
    const call: Call = { kind, ...what, fromMs: this.#cluster.clock.nowMs, toMs: Infinity, answer: undefined }
    this.calls.push(call)
    this.#waiting.set(id, { call, node, life: node.life })
    return id
  }

  #attempt(what: Pick<Call, 'operation' | 'revision' | 'ifMatch'>, event: Of<'write'>, node: ClusterNode, left: number): void {
    const id = this.#call('write', what, node)
    const text = JSON.stringify({
      revision: what.revision,
      routes: [],
      services: [],
      limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
      more: { writer: what.operation, bulk: '.'.repeat(what.revision === 1 ? this.#bulkBytes : 0) },
    })
    const command = Command.encode({
      kind: 'network',
      operation: what.operation,
      request: id,
      basis: node.applied,
      action: 'put',
      text,
      ifMatch: what.ifMatch,
    })
    node.step((raft, nowMs) => {
      raft.propose(command, nowMs)
    })
    this.#cluster.clock.after(event.resendMs, () => {
      if (!this.#waiting.delete(id) || left === 1) return
      this.#withLeader(event.pick + left, (next) => {
        this.#attempt(what, event, next, left - 1)
      })
    })
  }

  #answer(id: string, waiting: Waiting, answer: NonNullable<Call['answer']>): void {
    this.#waiting.delete(id)
    waiting.call.toMs = this.#cluster.clock.nowMs
    waiting.call.answer = answer
  }

  #roleCommand(event: Of<'role'>, node: ClusterNode): Command {
    const duty = node.state.duty(role)
    const epoch = duty?.epoch ?? 0
    if (duty !== undefined && !this.#epochs.includes(epoch)) this.#epochs.push(epoch)
    const holder = `n${String(event.seat)}`
    if (event.action === 'win')
      return { kind: 'duty', duty: role, vacancy: node.state.copy.stampOf(`duty/${role}`), holder, address: holder }
    if (event.action === 'vacate') return { kind: 'vacate', duty: role, epoch }
    const under = event.action === 'dispatch' ? epoch : (this.#epochs[0] ?? 0)
    return { kind: 'dispatch', epoch: under, rows: [{ key: order, gone: false, value: `${holder} under ${String(under)}` }] }
  }
}

/** The configuration as a node's state holds it. */
const ClientsView = {
  revision: (node: ClusterNode): number => node.state.network?.revision ?? 0,
  writer: (node: ClusterNode): string => {
    const writer = node.state.network?.more?.['writer']
    return typeof writer === 'string' ? writer : ''
  },
}
