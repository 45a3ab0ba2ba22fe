/**
 * The agent beside a proxy as one pure machine. It finds the core, keeps the seat's lease, takes
 * its place in the relay tree, and feeds its proxy. When the core is out of reach it asks the other
 * seats: while a majority of them knows no newer charter, its proxy may go on.
 */
import type { Random } from '../common/Random.js'
import { digest } from '../common/digest.js'
import type { Timings } from '../common/Timings.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { DutyRow } from '../consensus/DutyRow.js'
import { Relay } from '../consensus/Relay.js'
import type { Row } from '../consensus/Row.js'
import { PeerDirectory } from '../consensus/PeerDirectory.js'
import type { Message } from '../transport/Message.js'
import { Barrier } from './Barrier.js'
import type { AgentEffect } from './AgentEffect.js'
import type { AgentInput } from './AgentInput.js'

interface Plan {
  name: string
  zone: string
  address: string
  seeds: readonly string[]
  /** Empty in a process that does a proxy's work itself and goes by this copy alone. */
  proxy: string
  /** The system to follow; else the first whose leader grants a lease. */
  system: string
}
const fanout = 3
/** A process without a proxy, once it is level with the core, probes that many times less often. */
const calmProbes = 3
const networkKeys = /^(network$|route\/|service\/|zone\/)/

export class AgentMachine {
  readonly copy = new ReplicaTable()
  readonly #plan: Plan
  readonly #timings: Timings
  readonly #directory: PeerDirectory
  readonly #relay: Relay
  readonly #session: string
  readonly #nonce: number
  #effects: AgentEffect[] = []
  #leaderAddress = ''
  #system = ''
  #peers: { name: string; address: string; zone: string }[] = []
  #peersSum = 0
  #members = 1
  #memberNames: readonly string[] = []
  /** Requests at each server over all gateways, as the leader told last. */
  loads: readonly { key: string; count: number }[] = []
  #membersMs = -Infinity
  #heardCoreMs = -Infinity
  #leaseUntilMs = -Infinity
  #peerUntilMs = -Infinity
  #peerReplies = new Map<string, { sentMs: number; stamp: number }>()
  #parent = ''
  #parentHeardMs = -Infinity
  #shunned = new Map<string, number>()
  #coreStamp = 0
  #levelMs: number
  /** The stamp that the core told first in this life: before it is reached this seat vouches for nothing, for it may have forgotten. */
  #firstStamp: number | undefined
  #proxy = { stamp: 0, permitUntilMs: -Infinity, followSentMs: 0, followedMs: -Infinity }
  readonly #barrier: Barrier
  #ask: Extract<Message, { kind: 'ask' }> = { kind: 'ask', asks: [], echo: 0, again: [], firsts: [] }
  #firsts = new Map<string, number>()
  #lent: Pick<Extract<Message, { kind: 'lease' }>, 'serial' | 'shares' | 'again'> = { serial: 0, shares: [], again: [] }
  /** The newest lease of this life: the leader that granted it, when by that leader's clock, and when it came. */
  #newestLease = { term: -1, grantedMs: -Infinity, heardMs: -Infinity }
  #renewedMs = -Infinity
  #probeAtMs = -Infinity
  #renewAtMs = -Infinity
  #followAtMs = -Infinity
  #follows = 0

  constructor(plan: Plan, timings: Timings, random: Random, nowMs: number) {
    this.#plan = plan
    this.#system = plan.system
    this.#timings = timings
    this.#directory = new PeerDirectory(
      plan.name,
      plan.seeds.filter((seed) => seed !== plan.address),
      4 * timings.probeMs,
    )
    this.#relay = new Relay(timings.leaseMs)
    this.#barrier = new Barrier(timings, nowMs)
    this.#nonce = random.below(1e9)
    this.#session = this.#nonce.toString(36)
    this.#levelMs = nowMs
  }

  current(nowMs: number): boolean {
    return nowMs < this.#leaseUntilMs || nowMs < this.#peerUntilMs
  }

  /** True while the lease runs and all that the core told of is here. */
  upToDate(nowMs: number): boolean {
    return this.current(nowMs) && this.copy.stamp >= this.#coreStamp
  }

  /** Servers that the platform's list takes away while the core is silent about them. */
  barred(nowMs: number): string[] {
    return this.#barrier.barred(this.copy, nowMs)
  }

  /** How many seats there are; a new leader, which hears of them one by one, lowers it only after a while. */
  get members(): number {
    return this.#members
  }

  /** The names of the seats that were last told to be alive, this one among them. */
  get memberNames(): readonly string[] {
    return this.#memberNames
  }

  /** True once the core has been heard in this life and all that it told first is here. */
  get level(): boolean {
    return this.#sure
  }

  /** This life of the seat. */
  get session(): string {
    return this.#session
  }

  /** The system that this machine follows; empty while it may follow any. */
  get system(): string {
    return this.#system
  }

  /** When a lease last came. */
  get heardCoreMs(): number {
    return this.#heardCoreMs
  }

  reseed(seeds: readonly string[]): void {
    this.#directory.reseed(seeds.filter((seed) => seed !== this.#plan.address))
    this.#probeAtMs = -Infinity
  }

  get #alone(): boolean {
    return this.#plan.proxy === ''
  }

  figures(nowMs: number): Record<string, number> {
    return {
      lease_left_ms: Math.max(0, this.#leaseUntilMs - nowMs),
      peers_left_ms: Math.max(0, this.#peerUntilMs - nowMs),
      stamp: this.copy.stamp,
      core_stamp: this.#coreStamp,
      barred: this.#barrier.barred(this.copy, nowMs).length,
    }
  }

  step(input: AgentInput, nowMs: number): AgentEffect[] {
    if (input.kind === 'tick') this.#tick(nowMs)
    else if (input.kind === 'platform') this.#barrier.told(input.servers)
    else this.#message(input.from, input.fromAddress, input.message, nowMs)
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  #send(toAddress: string, message: Message): void {
    if (toAddress !== '' && toAddress !== this.#plan.address) this.#effects.push({ kind: 'send', toAddress, message })
  }

  #tick(nowMs: number): void {
    if (nowMs >= this.#probeAtMs) {
      this.#probeAtMs = nowMs + (this.#alone && this.current(nowMs) ? calmProbes : 1) * this.#timings.probeMs
      const asked =
        this.#alone || this.#leaderAddress === '' || !this.current(nowMs)
          ? this.#directory.inquiries
          : [this.#leaderAddress, ...this.#directory.inquiries.slice(0, 2)]
      for (const address of new Set(asked))
        this.#send(address, {
          kind: 'probe',
          nonce: this.#nonce,
          role: 'agent',
          zone: this.#plan.zone,
          identity: this.#session,
          known: [],
          system: this.#system,
        })
    }
    if (nowMs >= this.#renewAtMs) this.#renew(nowMs)
    if (this.#barrier.asks(nowMs)) this.#effects.push({ kind: 'askPlatform' })
    if (nowMs >= this.#followAtMs) this.#follow(nowMs)
  }

  /** Renews the lease, and with it asks for what the proxy wants of shared limits. */
  #renew(nowMs: number): void {
    this.#renewAtMs = nowMs + this.#timings.renewMs
    this.#renewedMs = nowMs
    const { asks, echo, again } = this.#ask
    const firsts = [...this.#firsts].map(([key, count]) => ({ key, count }))
    if (this.#leaderAddress !== '') this.#firsts.clear()
    this.#send(this.#leaderAddress, {
      kind: 'renew',
      seat: this.#plan.name,
      role: 'agent',
      zone: this.#plan.zone,
      session: this.#session,
      sentMs: nowMs,
      adopted: this.#adopted(nowMs),
      asks,
      echo,
      again,
      firsts,
      peersSum: this.#peersSum,
      ...this.#leaseEcho(nowMs),
    })
    if (!this.#alone && nowMs >= this.#leaseUntilMs - 2 * this.#timings.renewMs) this.#askPeers(nowMs)
  }

  /** Shows the leader that this renewal was made after a lease that it granted not long ago. */
  #leaseEcho(nowMs: number): { leaseTerm?: number; leaseGrantedMs?: number } {
    const { term, grantedMs, heardMs } = this.#newestLease
    return nowMs - heardMs > this.#timings.echoMs ? {} : { leaseTerm: term, leaseGrantedMs: grantedMs }
  }

  /** True of a lease that answers an earlier life of this process, or that a newer one has overtaken. */
  #outdated(lease: Extract<Message, { kind: 'lease' }>, nowMs: number): boolean {
    if ((lease.session ?? this.#session) !== this.#session || lease.sentMs > nowMs) return true
    if (lease.term === undefined || lease.grantedMs === undefined) return false
    const { term, grantedMs } = this.#newestLease
    return lease.term < term || (lease.term === term && lease.grantedMs < grantedMs)
  }

  /** The first lease of a term is echoed at once: only then does the leader credit what this seat works by. */
  #noteLease(term: number, grantedMs: number, nowMs: number): void {
    const first = term !== this.#newestLease.term
    this.#newestLease = { term, grantedMs, heardMs: nowMs }
    if (first) this.#renew(nowMs)
  }

  /** What this seat as a whole works by: the proxy's stamp for as long as the proxy may be at work. */
  #adopted(nowMs: number): number {
    return nowMs < this.#proxy.permitUntilMs ? Math.min(this.copy.stamp, this.#proxy.stamp) : this.copy.stamp
  }

  #follow(nowMs: number): void {
    this.#followAtMs = nowMs + (this.#alone ? 0.75 : 0.5) * this.#timings.renewMs
    if (this.copy.stamp >= this.#coreStamp) this.#levelMs = nowMs
    const silentMs = (this.#alone ? 1.4 : 1) * this.#timings.parentSilentMs
    const behind = nowMs - this.#levelMs > silentMs
    if (this.#parent !== '' && (behind || nowMs - this.#parentHeardMs > silentMs))
      this.#shunned.set(this.#parent, nowMs + 2 * this.#timings.leaseMs)
    const chosen = this.#chooseParent(nowMs)
    if (chosen !== this.#parent) {
      this.#parent = chosen
      this.#parentHeardMs = nowMs
      if (behind) this.#levelMs = nowMs
    }
    this.#follows += 1
    this.#send(this.#parent, {
      kind: 'follow',
      seat: this.#plan.name,
      stamp: this.copy.stamp,
      sentMs: nowMs,
      digests: this.#follows % 8 === 0 ? this.copy.digests : [],
    })
  }

  /** The first of a zone follows the core, the others a seat above them in the zone's order; whoever was silent or stale is passed over for a while. */
  #chooseParent(nowMs: number): string {
    for (const [address, untilMs] of this.#shunned) if (nowMs > untilMs) this.#shunned.delete(address)
    const zone = this.#peers
      .filter((peer) => peer.zone === this.#plan.zone)
      .map((peer) => peer.name)
      .sort()
    const at = zone.indexOf(this.#plan.name)
    const above = at > 0 ? this.#peers.find((peer) => peer.name === zone[Math.floor((at - 1) / fanout)])?.address : undefined
    if (above !== undefined && !this.#shunned.has(above) && this.current(nowMs)) return above
    const boxes = this.#directory
      .of('control')
      .filter((one) => !this.#alone || nowMs - one.heardMs <= 3 * calmProbes * this.#timings.probeMs)
      .sort(
        (a, b) =>
          Number(b.zone === this.#plan.zone) - Number(a.zone === this.#plan.zone) ||
          digest(a.name + this.#plan.name) - digest(b.name + this.#plan.name),
      )
    const box = boxes.find((one) => !this.#shunned.has(one.address))
    if (box !== undefined) return box.address
    const others = this.#directory.of('agent').filter((one) => !this.#shunned.has(one.address))
    return others[0]?.address ?? boxes[0]?.address ?? ''
  }

  /** True of a core that is not the one this machine follows, or a machine that follows such a one. */
  #strange(system: string): boolean {
    return system !== '' && this.#system !== '' && system !== this.#system
  }

  get #sure(): boolean {
    return this.#firstStamp !== undefined && this.copy.stamp >= this.#firstStamp
  }

  #askPeers(nowMs: number): void {
    const stamp = this.copy.stampOf('charter')
    for (const peer of this.#directory.of('agent')) this.#send(peer.address, { kind: 'peerAsk', sentMs: nowMs, stamp })
    const seats = this.copy.under('seat/').length
    if (seats === 1 && stamp > 0 && this.#sure) this.#peerUntilMs = nowMs + this.#timings.leaseMs
  }

  #peerTold(from: string, sentMs: number, stamp: number, fromAddress: string): void {
    const own = this.copy.stampOf('charter')
    this.#peerReplies.set(from, { sentMs, stamp })
    if (stamp > own) {
      this.#peerUntilMs = -Infinity
      this.#send(fromAddress, { kind: 'follow', seat: this.#plan.name, stamp: this.copy.stamp, sentMs: 0, digests: [] })
      return
    }
    const seats = this.copy.under('seat/').map(([name]) => name)
    const replies = seats
      .filter((seat) => seat !== this.#plan.name)
      .map((seat) => this.#peerReplies.get(seat))
      .filter((reply) => reply !== undefined && reply.stamp <= own)
    const needed = Math.floor(seats.length / 2) + 1 - (this.#sure && seats.includes(this.#plan.name) ? 1 : 0)
    const oldest = replies.map((reply) => reply?.sentMs ?? -Infinity).sort((a, b) => b - a)[needed - 1]
    const newer = seats.some((seat) => (this.#peerReplies.get(seat)?.stamp ?? 0) > own)
    if (oldest !== undefined && own > 0 && !newer) this.#peerUntilMs = Math.max(this.#peerUntilMs, oldest + this.#timings.leaseMs)
  }

  #message(from: string, fromAddress: string, message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'probe': {
        if (this.#strange(message.system)) break
        this.#directory.hearsay([...message.known, { name: from, address: fromAddress, role: message.role, zone: message.zone }], nowMs)
        this.#send(fromAddress, {
          kind: 'probeReply',
          nonce: message.nonce,
          role: 'agent',
          zone: this.#plan.zone,
          identity: this.#session,
          empty: false,
          leader: this.#leaderAddress,
          known: this.#directory.known,
          system: this.#system,
        })
        break
      }
      case 'probeReply': {
        if (message.nonce !== this.#nonce || this.#strange(message.system)) break
        this.#directory.heard(
          { name: from, address: fromAddress, role: message.role, zone: message.zone, identity: message.identity, empty: message.empty },
          nowMs,
        )
        this.#directory.hearsay(message.known, nowMs)
        if (this.#alone && message.leader !== '' && !this.current(nowMs)) this.#renewSoon()
        if (message.role === 'control' && message.leader !== '') this.#leaderAddress = message.leader
        else if (message.leader !== '' && this.#leaderAddress === '') this.#leaderAddress = message.leader
        break
      }
      case 'lease': {
        if (this.#strange(message.system) || this.#outdated(message, nowMs)) break
        if (this.#system === '') this.#system = message.system
        this.#leaseUntilMs = Math.max(this.#leaseUntilMs, message.sentMs + message.forMs)
        this.#coreStamp = Math.max(this.#coreStamp, message.stamp)
        this.#firstStamp ??= message.stamp
        if (message.peersSum !== this.#peersSum) {
          this.#peers = message.peers
          this.#peersSum = message.peersSum
          this.#directory.hearsay(message.peers, nowMs)
        }
        this.#heardCoreMs = nowMs
        this.loads = message.loads ?? []
        this.#count(nowMs)
        if (message.forMs > 0) this.#lent = message
        this.#barrier.core(message.sentMs - message.platformAgeMs, message.stamp)
        this.#permit(nowMs)
        if (message.term !== undefined && message.grantedMs !== undefined) this.#noteLease(message.term, message.grantedMs, nowMs)
        break
      }
      case 'peerAsk':
        if (this.#sure) this.#send(fromAddress, { kind: 'peerTell', sentMs: message.sentMs, stamp: this.copy.stampOf('charter') })
        break
      case 'peerTell':
        if (message.sentMs <= nowMs) this.#peerTold(from, message.sentMs, message.stamp, fromAddress)
        break
      case 'ask': {
        if (fromAddress !== this.#plan.proxy) break
        this.#ask = message
        for (const { key, count } of message.firsts) this.#firsts.set(key, (this.#firsts.get(key) ?? 0) + count)
        if (message.again.length > 0 || message.asks.some((one) => one.want > one.held)) {
          this.#renewSoon()
        }
        break
      }
      case 'outlook':
        this.#send(this.#plan.proxy, message)
        break
      case 'follow':
        this.#followed(fromAddress, message, nowMs)
        break
      case 'news': {
        if (fromAddress === this.#parent) this.#parentHeardMs = nowMs
        this.#coreStamp = Math.max(this.#coreStamp, message.stamp)
        this.#changed(this.copy.adopt(message.since, message.stamp, message.rows), nowMs)
        break
      }
      case 'mend': {
        if (message.stamp !== this.copy.stamp) break
        const changed = this.copy.mend(message.range, message.rows)
        if (changed.length === 0) break
        this.#effects.push(
          { kind: 'say', part: 'repair', sentence: `Mended ${String(changed.length)} rows from ${from}.` },
          { kind: 'adopted', rows: changed },
        )
        break
      }
      case 'tally': {
        const duty = this.copy.get('duty/dispatcher')
        const holder = duty === undefined ? undefined : this.#directory.get(DutyRow.parse(JSON.parse(duty)).holder)
        const address = holder?.address ?? (this.#alone ? this.#leaderAddress : '')
        this.#send(address, { ...message, seat: this.#plan.name })
        break
      }
      default:
    }
  }

  #renewSoon(): void {
    this.#renewAtMs = Math.min(this.#renewAtMs, this.#renewedMs + this.#timings.renewMs / 4)
  }

  #count(nowMs: number): void {
    const told = Math.max(1, this.#peers.length)
    if (told < this.#members && nowMs - this.#membersMs <= 2 * this.#timings.leaseMs) return
    this.#members = told
    this.#memberNames = this.#peers.map((peer) => peer.name)
    this.#membersMs = nowMs
  }

  /** Rows changed: those who follow get them, and the core soon hears that this seat works by them. */
  #changed(rows: readonly Row[], nowMs: number): void {
    if (rows.length === 0) return
    this.#effects.push({ kind: 'adopted', rows })
    if (this.#alone && rows.some((row) => networkKeys.test(row.key))) this.#renewSoon()
    this.#spread(nowMs)
  }

  #followed(fromAddress: string, follow: Extract<Message, { kind: 'follow' }>, nowMs: number): void {
    const own = fromAddress === this.#plan.proxy
    if (own) {
      this.#proxy.stamp = follow.stamp
      this.#proxy.followSentMs = follow.sentMs
      this.#proxy.followedMs = nowMs
    }
    for (const send of this.#relay.followed(fromAddress, follow, this.copy, nowMs)) this.#send(send.toAddress, send.message)
    if (own) this.#permit(nowMs)
  }

  /** Lets the proxy work on, counted on the proxy's own clock from its last question. */
  #permit(nowMs: number): void {
    const { followedMs, followSentMs } = this.#proxy
    if (nowMs - followedMs > this.#timings.leaseMs) return
    const forMs = Math.max(0, Math.max(this.#leaseUntilMs, this.#peerUntilMs) - followedMs)
    this.#proxy.permitUntilMs = Math.max(this.#proxy.permitUntilMs, followedMs + forMs)
    this.#send(this.#plan.proxy, {
      kind: 'permit',
      sentMs: followSentMs,
      forMs,
      lentMs: Math.max(0, this.#leaseUntilMs - followedMs),
      serial: this.#lent.serial,
      shares: this.#lent.shares,
      again: this.#lent.again,
      barred: this.#barrier.barred(this.copy, nowMs),
    })
  }

  #spread(nowMs: number): void {
    for (const send of this.#relay.push(this.copy, nowMs)) this.#send(send.toAddress, send.message)
  }
}
