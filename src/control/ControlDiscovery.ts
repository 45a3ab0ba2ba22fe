/**
 * How control nodes find each other: each probes the seeds and the members that it knows, and answers probes with what
 * it knows. Nodes of another system are ignored.
 */
import type { Message } from '../transport/Message.js'
import type { ClusterIdentity } from './ClusterIdentity.js'
import type { ControlContext } from './ControlContext.js'
import type { CoreMembership } from './CoreMembership.js'

type Probe = Extract<Message, { kind: 'probe' }>
type ProbeReply = Extract<Message, { kind: 'probeReply' }>

export class ControlDiscovery {
  readonly #context: ControlContext
  readonly #cluster: ClusterIdentity
  readonly #membership: CoreMembership
  #probeAtMs = -Infinity

  constructor(context: ControlContext, cluster: ClusterIdentity, membership: CoreMembership) {
    this.#context = context
    this.#cluster = cluster
    this.#membership = membership
  }

  /** Other seeds take the place of the old ones; whoever was learned of stays known. */
  reseed(seeds: readonly string[]): void {
    const { directory, plan } = this.#context
    directory.reseed(seeds.filter((seed) => seed !== plan.address))
    this.#probeAtMs = -Infinity
  }

  tick(nowMs: number): void {
    const { raft, timings, directory, plan, nonce, system } = this.#context
    if (nowMs < this.#probeAtMs || !raft.identitySynced) return
    this.#probeAtMs = nowMs + timings.probeMs
    const { identity } = raft
    const { known } = directory
    for (const address of this.#addressesToProbe())
      this.#context.send(address, { kind: 'probe', nonce, role: 'control', zone: plan.zone, identity, known, system })
  }

  #addressesToProbe(): Set<string> {
    const { raft, directory, isNetwork } = this.#context
    const members = isNetwork ? raft.members.filter((one) => one.identity !== raft.identity) : []
    return new Set([...directory.inquiries, ...members.map((one) => this.#context.addressOf(one.identity))])
  }

  onProbe(from: string, fromAddress: string, probe: Probe, nowMs: number): void {
    if (this.#cluster.isForeign(probe.system)) return
    if (probe.role === 'control') this.#hearControlNode(from, fromAddress, probe, nowMs)
    this.#context.directory.hearsay(probe.known, nowMs)
    this.#reply(fromAddress, probe.nonce)
  }

  #hearControlNode(from: string, fromAddress: string, { identity, system, nonce, role, zone }: Probe, nowMs: number): void {
    const { directory } = this.#context
    this.#membership.hearSystem(identity, system)
    if (directory.lives.get(from) !== nonce) this.#membership.hearNewLife(identity)
    directory.lives.set(from, nonce)
    const before = directory.get(from)
    const empty = before?.identity === identity && before.empty
    directory.heard({ name: from, address: fromAddress, role, zone, identity, empty }, nowMs)
  }

  #reply(toAddress: string, nonce: number): void {
    const { raft, directory, plan, leaderAddress, system } = this.#context
    if (!raft.identitySynced) return
    this.#context.send(toAddress, {
      kind: 'probeReply',
      nonce,
      role: 'control',
      zone: plan.zone,
      identity: raft.identity,
      empty: raft.empty,
      leader: leaderAddress,
      known: directory.known,
      system,
    })
  }

  onProbeReply(from: string, fromAddress: string, reply: ProbeReply, nowMs: number): void {
    const { directory, nonce } = this.#context
    if (reply.nonce !== nonce || this.#cluster.isForeign(reply.system)) return
    const { role, zone, identity, empty } = reply
    if (role === 'control') this.#membership.hearSystem(identity, reply.system)
    directory.heard({ name: from, address: fromAddress, role, zone, identity, empty }, nowMs)
    directory.hearsay(reply.known, nowMs)
    this.#cluster.join(reply.system, nowMs)
  }
}
