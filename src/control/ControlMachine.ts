/**
 * A core node as one pure machine: the consensus log and what it adds up to, the directory, leases,
 * ballots, the operators' desk and, while it holds the duty, the dispatcher. It is told what happened
 * and returns what to send, write, answer and ask.
 */
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import { Raft } from '../consensus/Raft.js'
import type { Entry } from '../consensus/Entry.js'
import { Ballots } from '../consensus/Ballots.js'
import { Command } from '../consensus/Command.js'
import { ReplicatedState } from '../consensus/ReplicatedState.js'
import { Relay } from '../consensus/Relay.js'
import { PeerDirectory } from '../consensus/PeerDirectory.js'
import { PlatformServer } from '../common/PlatformServer.js'
import type { Message } from '../transport/Message.js'
import { Dispatcher } from '../placement/Dispatcher.js'
import type { Policy } from '../placement/Policy.js'
import { CoreAccount } from './CoreAccount.js'
import { CoreMembership } from './CoreMembership.js'
import { Operation } from './Operation.js'
import { OperatorRequests } from './OperatorRequests.js'
import { SeatDesk } from './SeatDesk.js'
import type { ControlEffect } from './ControlEffect.js'
import type { ControlInput } from './ControlInput.js'

interface Plan {
  name: string
  zone: string
  address: string
  seeds: readonly string[]
  /** Empty for a network: members are then whoever joins, and the seeds found where `bootstrap` is set. */
  seats: readonly string[]
  bootstrap: boolean
  rewriteBytes: number
  /** Model servers turn away the orders of an older epoch than one that they have seen. */
  fenced: boolean
  policy: Policy
  /** The system that an empty machine may join; any, if empty. */
  system: string
  /** Voters that a network's core is to have. */
  targetVoters: number
}
const dispatcherDuty = 'dispatcher'
const unreadMs = 1e9
const hourMs = 3_600_000
const jumpMs = 120_000
const keptCommits = 4096

export class ControlMachine {
  readonly raft: Raft
  replicatedState = new ReplicatedState()
  readonly directory: PeerDirectory
  readonly #plan: Plan
  readonly #timings: Timings
  readonly #desk: SeatDesk
  readonly #ballots: Ballots
  readonly #relay: Relay
  readonly #requests: OperatorRequests
  readonly #account: CoreAccount
  readonly #nonce: number
  #dispatcher: Dispatcher | undefined
  #dutySureMs = -Infinity
  #dutyAskMs = -Infinity
  #standsFromMs = -Infinity
  #dutyHeardMs = new Map<number, number>()
  #effects: ControlEffect[] = []
  #leading = false
  #leaderAddress = ''
  #probeAtMs = -Infinity
  #foundAtMs = -Infinity
  #platformAtMs = -Infinity
  /** When the platform's list was asked for that the table was last found to be level with. */
  #platformFreshMs = -Infinity
  #lastTickMs: number
  #seatsAsked = new Map<string, number>()
  #platformSeen = ''
  #applied = 0
  #logBytes = 0
  readonly #network: boolean
  /** Where machines were when they last spoke of the consensus log, by identity. */
  readonly #spokeFrom = new Map<string, string>()
  readonly #membership: CoreMembership
  #committedMs = new Map<number, number>()
  #settledMs: number | undefined
  #vacateAtMs = -Infinity
  #winAtMs = -Infinity
  #clock: { hour: number; atMs: number } | undefined

  constructor(plan: Plan, timings: Timings, random: Random, disk: readonly Uint8Array[], nowMs: number) {
    this.#plan = plan
    this.#network = plan.seats.length === 0
    this.#timings = timings
    this.raft = new Raft(plan.name, timings, random.fork(), disk, nowMs, this.#network && plan.bootstrap ? plan.seeds : [])
    this.directory = new PeerDirectory(
      plan.name,
      plan.seeds.filter((seed) => seed !== plan.address),
      4 * timings.probeMs,
    )
    this.#membership = new CoreMembership(plan, timings, this.raft, this.directory, {
      send: (toAddress, message) => {
        this.#send(toAddress, message)
      },
      say: (sentence) => {
        this.#say('raft', sentence)
      },
      leaderAddress: () => this.#leaderAddress,
    })
    this.#desk = new SeatDesk(timings)
    this.#ballots = new Ballots(plan.name, timings, random.fork())
    this.#relay = new Relay(timings.leaseMs)
    this.#nonce = random.below(1e9)
    this.#account = new CoreAccount(
      timings,
      this.raft,
      this.#desk,
      (identity) => this.#addressOf(identity),
      (seat) => (seat === plan.name ? this.#nonce : (this.directory.lives.get(seat) ?? 0)),
    )
    this.#requests = new OperatorRequests(timings, this.#host())
    this.#lastTickMs = nowMs
    this.#logBytes = disk.reduce((sum, record) => sum + record.length, 0)
    this.#collect(nowMs)
  }

  #host(): ConstructorParameters<typeof OperatorRequests>[1] {
    const replicatedState = () => this.replicatedState
    const leading = () => this.#leading
    const leaderAddress = () => this.#leaderAddress
    const dispatches = () => this.#dispatcher !== undefined
    const applied = () => this.#applied
    return {
      raft: this.raft,
      directory: this.directory,
      get replicatedState() {
        return replicatedState()
      },
      get applied() {
        return applied()
      },
      get leading() {
        return leading()
      },
      get leaderAddress() {
        return leaderAddress()
      },
      get dispatches() {
        return dispatches()
      },
      propose: (command, nowMs) => {
        this.#propose(command, nowMs)
      },
      send: (toAddress, message) => {
        this.#send(toAddress, message)
      },
      respond: (id, status, stamp, text) => {
        this.#effects.push({ kind: 'respond', id: id.slice(this.#life.length + 1), status, stamp, text })
      },
      delivered: (outcome, nowMs) => this.#delivered(outcome.stamp, nowMs),
      nodes: (nowMs) => this.#account.nodes(this.replicatedState, this.#seats, nowMs),
      servers: () => this.#account.servers(this.replicatedState),
      leaves: () => this.#account.leaves(this.replicatedState),
      placement: (nowMs) => this.#account.placement(this.replicatedState, this.#dispatcher, nowMs),
    }
  }

  /** Other seeds take the place of the old ones; whoever was learned of stays known. */
  reseed(seeds: readonly string[]): void {
    this.directory.reseed(seeds.filter((seed) => seed !== this.#plan.address))
    this.#probeAtMs = -Infinity
  }

  /** Before it stops, a node hands over what it does for the core; see mayStop. */
  leave(nowMs: number): void {
    this.#membership.leave(nowMs)
  }

  /** True once a node that is leaving may stop. */
  get mayStop(): boolean {
    return this.#membership.mayStop
  }

  #delivered(stamp: number, nowMs: number): boolean {
    if (!this.#network) return this.#desk.leases.delivered(stamp, this.#seats, nowMs)
    const sinceMs = this.#committedMs.get(stamp) ?? this.#settledMs
    return sinceMs !== undefined && this.#desk.leases.adopted(stamp, sinceMs, nowMs)
  }

  /** The session of a seat whose adoption this leader counts; empty while none is proven. */
  creditedSession(seat: string): string {
    return this.#desk.leases.creditedSession(seat)
  }

  get dispatcher(): Dispatcher | undefined {
    return this.#dispatcher
  }

  figures(nowMs: number): Record<string, number> {
    return {
      term: this.raft.term,
      commit: this.raft.commit,
      leads: this.#leading ? 1 : 0,
      dispatches: this.#dispatcher === undefined ? 0 : 1,
      seats_alive: this.#seats.filter((seat) => this.#desk.leases.alive(seat, nowMs)).length,
      operations_open: this.#requests.open,
      log_bytes: this.#logBytes,
      log_index: this.raft.lastIndex,
      members: this.raft.members.length,
      voters: this.raft.members.filter((one) => one.voter).length,
      servers_known: this.replicatedState.copy.under('server/').length,
      ...(this.#dispatcher === undefined ? {} : { unmet_wants: this.#dispatcher.unmet.length }),
    }
  }

  /** What the constructor already asks for: the identity's first write. */
  begin(): ControlEffect[] {
    return this.#take()
  }

  step(input: ControlInput, nowMs: number): ControlEffect[] {
    switch (input.kind) {
      case 'tick':
        this.#watchClock(input.hour, nowMs)
        this.#tick(input.hour, nowMs)
        break
      case 'message':
        this.#message(input.from, input.fromAddress, input.message, nowMs)
        break
      case 'written':
        this.raft.written(nowMs)
        break
      case 'operate':
        this.#requests.operate(this.#requestId(input.id), input.operation, nowMs)
        break
      case 'cancel':
        this.#requests.cancel(this.#requestId(input.id))
        break
      case 'platform':
        this.#platform(input.servers, input.askedMs, nowMs)
        break
      case 'reported':
        this.#dispatcher?.reported(input.server, input.report, input.askedMs, nowMs)
        break
      case 'replied':
        if (this.#dispatcher?.epoch === input.epoch)
          this.#dispatcher.replied(input.server, input.number, input.reply === 'held' ? 'accepted' : input.reply, nowMs)
        break
    }
    this.#collect(nowMs)
    return this.#take()
  }

  #take(): ControlEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  #say(part: string, sentence: string): void {
    this.#effects.push({ kind: 'say', part, sentence })
  }

  #send(toAddress: string | undefined, message: Message): void {
    if (toAddress !== undefined && toAddress !== '') this.#effects.push({ kind: 'send', toAddress, message })
  }

  #addressOf(identity: string): string {
    return (
      this.directory.addressOf(identity) ??
      this.#spokeFrom.get(identity) ??
      this.raft.members.find((one) => one.identity === identity)?.address ??
      ''
    )
  }

  /** Turns what the consensus log asks for into effects, and applies what it committed. */
  #collect(nowMs: number): void {
    const out = this.raft.take()
    for (const sentence of out.says) this.#say('raft', sentence)
    for (const { to, message } of out.sends) this.#send(this.#addressOf(to), message)
    for (const write of out.writes) {
      const bytes = write.records.reduce((sum, record) => sum + record.length + 8, 0)
      this.#logBytes = write.rewrite ? bytes : this.#logBytes + bytes
      this.#effects.push({
        kind: 'write',
        records: write.records,
        rewrite: write.rewrite,
        then: write.then.map(({ to, message }) => ({ toAddress: this.#addressOf(to), message })),
      })
    }
    if (out.adopted !== undefined) {
      this.replicatedState = out.adopted.state.length === 0 ? new ReplicatedState() : ReplicatedState.restore(out.adopted.state)
      this.#applied = out.adopted.index
    }
    for (const entry of out.applied) {
      const before = this.replicatedState.charterStamp
      this.#apply(entry)
      if (this.#network && this.raft.phase === 'leader') this.#committed(entry.index, nowMs)
      if (this.replicatedState.charterStamp !== before) {
        this.#desk.leases.charterMade(this.replicatedState.charterStamp, entry.term < this.raft.term ? -Infinity : nowMs)
      }
    }
    if (out.applied.length > 0 || out.adopted !== undefined) {
      const system = this.replicatedState.copy.get('system')
      if (system !== undefined) this.raft.belong(system, nowMs)
      this.#duty(nowMs)
      for (const send of this.#relay.push(this.replicatedState.copy, nowMs)) this.#send(send.toAddress, send.message)
    }
    for (const id of out.lostReads) {
      this.#requests.lost(id)
    }
    for (const id of out.readable) this.#requests.readable(id, nowMs)
    if ((this.raft.phase === 'leader') !== this.#leading) {
      this.#leading = !this.#leading
      if (this.#leading) {
        this.#desk.begin(this.raft.term, nowMs)
        this.#platformFreshMs = -Infinity
        this.#desk.leases.charterMade(this.replicatedState.charterStamp, -Infinity)
        this.#dutyHeardMs.clear()
        this.#membership.begin()
        this.#committedMs.clear()
        this.#settledMs = undefined
        this.#winAtMs = -Infinity
        this.#leaderAddress = this.#plan.address
      }
    } else if (this.raft.leader !== '' && !this.#leading) this.#leaderAddress = this.#addressOf(this.raft.leader)
    if (this.raft.leader === '' && !this.#leading) this.#leaderAddress = ''
    if (this.#leading && this.raft.settled) this.#settledMs ??= nowMs
    this.#requests.finish(nowMs)
    if ((this.raft.phase !== 'leader') === this.#leading) this.#collect(nowMs)
  }

  #apply(entry: Entry): void {
    const settlement = entry.type === 'command' ? this.replicatedState.apply(entry.index, entry.bytes) : undefined
    this.#applied = entry.index
    if (settlement !== undefined) this.#requests.settle(settlement)
  }

  /** The name of a caller's request among all nodes and their lives. */
  #requestId(id: string): string {
    return `${this.#life}/${id}`
  }

  #committed(index: number, nowMs: number): void {
    this.#committedMs.set(index, nowMs)
    const oldest = this.#committedMs.keys().next().value
    if (this.#committedMs.size > keptCommits && oldest !== undefined) this.#committedMs.delete(oldest)
  }

  /** The wall clock counts for the hours of intents alone; still, operators should know when it jumps. */
  #watchClock(hour: number, nowMs: number): void {
    if (this.#clock !== undefined) {
      const offHours = ((hour - this.#clock.hour - (nowMs - this.#clock.atMs) / hourMs + 36) % 24) - 12
      if (Math.abs(offHours * hourMs) > jumpMs) {
        this.#account.jumped = { atMs: nowMs, byMs: Math.round(offHours * hourMs) }
        this.#say('control', `The wall clock jumped by ${String(this.#account.jumped.byMs)} ms; only hours of intents go by it.`)
      }
    }
    this.#clock = { hour, atMs: nowMs }
  }

  #tick(hour: number, nowMs: number): void {
    const late = nowMs - this.#lastTickMs
    this.#lastTickMs = nowMs
    if (late > this.#timings.frozenMs) this.#say('control', `Was frozen for ${String(Math.round(late))} ms; confirms its lease first.`)
    this.raft.tick(nowMs)
    this.#collect(nowMs)
    if (nowMs >= this.#probeAtMs) this.#probe(nowMs)
    this.#membership.tick(nowMs)
    if (this.#leading) this.#lead(nowMs)
    this.#standForDuty(nowMs)
    this.#dispatch(hour, nowMs)
    if (this.#logBytes > this.#plan.rewriteBytes && this.#applied > 0) {
      this.raft.compact(this.#applied, this.replicatedState.save(), nowMs)
      this.#logBytes = 0
    }
    this.#requests.tick(nowMs)
  }

  #probe(nowMs: number): void {
    if (!this.raft.identitySynced) return
    this.#probeAtMs = nowMs + this.#timings.probeMs
    const known = this.directory.known
    const members = this.#network ? this.raft.members.filter((one) => one.identity !== this.raft.identity) : []
    const addresses = new Set([...this.directory.inquiries, ...members.map((one) => this.#addressOf(one.identity))])
    for (const address of addresses) {
      this.#send(address, {
        kind: 'probe',
        nonce: this.#nonce,
        role: 'control',
        zone: this.#plan.zone,
        identity: this.raft.identity,
        known,
        system: this.#system,
      })
    }
  }

  #lead(nowMs: number): void {
    if (nowMs >= this.#platformAtMs) {
      this.#platformAtMs = nowMs + this.#timings.platformMs
      this.#effects.push({ kind: 'askPlatform', askedMs: nowMs })
    }
    const duty = this.replicatedState.duty(dispatcherDuty)
    if (duty !== undefined) {
      const heardMs = this.#dutyHeardMs.get(duty.epoch)
      const forgotten = this.#network && duty.holder === this.#plan.name && duty.address !== this.#life && this.raft.settled
      if (heardMs === undefined) this.#dutyHeardMs.set(duty.epoch, forgotten ? -Infinity : nowMs)
      else if (nowMs - heardMs > 1.1 * this.#timings.dutyLeaseMs || this.#mayTakeOver(duty.holder)) {
        this.#propose({ kind: 'vacate', duty: dispatcherDuty, epoch: duty.epoch }, nowMs)
        this.#dutyHeardMs.set(duty.epoch, nowMs)
      }
    }
    if (this.replicatedState.copy.get('system') === undefined && this.raft.settled && nowMs >= this.#foundAtMs) {
      this.#foundAtMs = nowMs + this.#timings.electionMs
      this.#propose({ kind: 'found', system: this.raft.identity, again: false }, nowMs)
    }
    if (this.#network) this.#desk.leases.forget(nowMs)
    this.#membership.lead(nowMs)
  }

  #propose(command: Command, nowMs: number): void {
    const bytes = Command.encode(command)
    if (this.raft.phase === 'leader') this.raft.propose(bytes, nowMs)
    else this.#send(this.#leaderAddress, { kind: 'propose', id: '', command: bytes })
  }

  #message(from: string, fromAddress: string, message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'probe': {
        if (this.#strange(message.system)) break
        if (message.role === 'control') this.#membership.hearSystem(message.identity, message.system)
        if (message.role === 'control') {
          if (this.directory.lives.get(from) !== message.nonce) this.#membership.hearNewLife(message.identity)
          this.directory.lives.set(from, message.nonce)
        }
        const before = this.directory.get(from)
        const empty = before?.identity === message.identity && before.empty
        if (message.role === 'control')
          this.directory.heard(
            { name: from, address: fromAddress, role: message.role, zone: message.zone, identity: message.identity, empty },
            nowMs,
          )
        this.directory.hearsay(message.known, nowMs)
        const { raft } = this
        if (!raft.identitySynced) break
        this.#send(fromAddress, {
          kind: 'probeReply',
          nonce: message.nonce,
          role: 'control',
          zone: this.#plan.zone,
          identity: raft.identity,
          empty: raft.empty,
          leader: this.#leaderAddress,
          known: this.directory.known,
          system: this.#system,
        })
        break
      }
      case 'probeReply': {
        if (message.nonce !== this.#nonce || this.#strange(message.system)) break
        if (message.role === 'control') this.#membership.hearSystem(message.identity, message.system)
        this.directory.heard(
          { name: from, address: fromAddress, role: message.role, zone: message.zone, identity: message.identity, empty: message.empty },
          nowMs,
        )
        this.directory.hearsay(message.known, nowMs)
        this.#joinSystem(message.system, nowMs)
        break
      }
      case 'requestVote':
      case 'voteReply':
      case 'appendEntries':
      case 'appendReply':
      case 'installSnapshot':
      case 'snapshotReply':
      case 'timeoutNow': {
        if (this.#network) this.#spokeFrom.set(message.from, fromAddress)
        this.raft.receive(message, nowMs)
        break
      }
      case 'propose':
        if (this.#leading) this.raft.propose(message.command, nowMs)
        break
      case 'leaving':
        this.#membership.hearLeaving(message.identity, fromAddress, nowMs)
        break
      case 'leavingReply':
        this.#membership.hearReleased(message.identity, message.released)
        break
      case 'renew':
        this.#renew(from, fromAddress, message, nowMs)
        break
      case 'stand': {
        const given =
          this.replicatedState.duty(message.duty) === undefined && this.#ballots.give(message.vacancy, message.round, from, nowMs)
        this.#send(fromAddress, { kind: 'ballot', duty: message.duty, vacancy: message.vacancy, round: message.round, given })
        break
      }
      case 'ballot':
        if (message.given) this.#countBallot(message.vacancy, message.round, from, nowMs)
        break
      case 'dutyRenew': {
        if (!this.raft.surelyLeads(nowMs) || this.replicatedState.duty(message.duty)?.epoch !== message.epoch) break
        this.#dutyHeardMs.set(message.epoch, nowMs)
        this.#send(fromAddress, { kind: 'dutyLease', duty: message.duty, epoch: message.epoch, sentMs: message.sentMs })
        break
      }
      case 'dutyLease':
        if (this.#dispatcher?.epoch === message.epoch) this.#dutySureMs = Math.max(this.#dutySureMs, message.sentMs)
        break
      case 'follow':
        for (const send of this.#relay.followed(fromAddress, message, this.replicatedState.copy, nowMs))
          this.#send(send.toAddress, send.message)
        break
      case 'tally':
        this.#dispatcher?.tally(
          message.seat,
          { session: message.session, adopted: message.adopted, held: message.held, flights: message.flights },
          message.arrivals,
          nowMs,
        )
        this.#tellOutlook(message.held, fromAddress, nowMs)
        break
      case 'operate': {
        const read = Operation.safeParse(message)
        if (read.success) this.#requests.passedOn(message, read.data, fromAddress, nowMs)
        break
      }
      case 'operated': {
        this.#requests.operated(message)
        break
      }
      default:
    }
  }

  #tellOutlook(held: readonly { model: string; adapter: string }[], toAddress: string, nowMs: number): void {
    if (this.#dispatcher === undefined || held.length === 0 || nowMs - this.#dutySureMs >= this.#timings.dutyLeaseMs) return
    this.#send(toAddress, { kind: 'outlook', models: this.#dispatcher.outlook(held, nowMs) })
  }

  get #system(): string {
    return this.raft.system === '' ? this.#plan.system : this.raft.system
  }

  /** Once taken in, a new machine writes down whose it is, before it has applied the row that says so: it may be left out again. */
  #joinSystem(system: string, nowMs: number): void {
    if (!this.#network || system === '' || this.raft.system !== '') return
    if (this.raft.members.some((one) => one.identity === this.raft.identity)) this.raft.belong(system, nowMs)
  }

  /** True of a machine that belongs to another core: one that was founded again from this one's disks, or that this one was. */
  #strange(system: string): boolean {
    return system !== '' && this.#system !== '' && system !== this.#system
  }

  #renew(from: string, fromAddress: string, renew: Extract<Message, { kind: 'renew' }>, nowMs: number): void {
    this.directory.heard(
      { name: from, address: fromAddress, role: renew.role, zone: renew.zone, identity: renew.session, empty: false },
      nowMs,
    )
    if (!this.raft.surelyLeads(nowMs) || !this.raft.settled) return
    if (!this.#network && this.replicatedState.copy.get(`seat/${renew.seat}`) === undefined) {
      if (nowMs - (this.#seatsAsked.get(renew.seat) ?? -Infinity) > this.#timings.electionMs) {
        this.#seatsAsked.set(renew.seat, nowMs)
        this.#propose({ kind: 'seat', name: renew.seat, role: renew.role, zone: renew.zone, retired: false, operation: '' }, nowMs)
      }
      return
    }
    const ageMs = Math.min(nowMs - this.#platformFreshMs, unreadMs)
    const loads = this.#dispatcher?.loads(nowMs)
    const lease = this.#desk.renew(renew, fromAddress, this.replicatedState.copy, ageMs, nowMs, loads)
    if (lease === undefined) return
    this.#send(fromAddress, lease)
    this.#requests.finish(nowMs)
  }

  get #seats(): string[] {
    if (this.#network) return this.#desk.leases.seats.map(([seat]) => seat)
    return this.replicatedState.copy.under('seat/').map(([name]) => name)
  }

  // The duty.

  /** This life of this machine: a duty won in an earlier one is not taken up again, for its orders are forgotten. */
  get #life(): string {
    return `${this.raft.identity}/${String(this.#nonce)}`
  }

  /** Where servers check epochs an earlier leader's duty is ended at once: whatever it still sends is turned away. */
  #mayTakeOver(holder: string): boolean {
    return this.#network && this.#plan.fenced && this.raft.settled && holder !== this.#plan.name
  }

  #duty(nowMs: number): void {
    const duty = this.replicatedState.duty(dispatcherDuty)
    const mine = duty?.holder === this.#plan.name && duty.address === this.#life
    if (mine && this.#dispatcher?.epoch !== duty.epoch) {
      this.#dispatcher = new Dispatcher(this.#timings, duty.epoch, duty.vacancy === 0, this.#plan.policy, nowMs)
      this.#dutySureMs = -Infinity
      this.#dutyAskMs = -Infinity
      this.#say('dispatcher', `Holds the duty in epoch ${String(duty.epoch)}.`)
    } else if (!mine && this.#dispatcher !== undefined) {
      this.#dispatcher = undefined
      this.#say('dispatcher', 'Gave up the duty.')
    }
  }

  #standForDuty(nowMs: number): void {
    if (this.#network) {
      this.#leaderStands(nowMs)
      return
    }
    const voter = this.raft.members.some((one) => one.identity === this.raft.identity && one.voter)
    const vacant =
      nowMs >= this.#standsFromMs && voter && this.raft.leader !== '' && this.replicatedState.duty(dispatcherDuty) === undefined
    const vacancy = this.replicatedState.copy.stampOf(`duty/${dispatcherDuty}`)
    const round = this.#ballots.tick(vacant ? vacancy : undefined, nowMs)
    if (round === undefined) return
    for (const member of this.raft.members) {
      if (member.identity !== this.raft.identity)
        this.#send(this.#addressOf(member.identity), { kind: 'stand', duty: dispatcherDuty, vacancy, round })
    }
    if (this.raft.members.length === 1) this.#win(vacancy, nowMs)
  }

  /** In a network the leader alone dispatches; the log has the last word, so it needs no ballots. */
  #leaderStands(nowMs: number): void {
    if (!this.#leading || !this.raft.settled || nowMs < this.#winAtMs) return
    if (this.replicatedState.duty(dispatcherDuty) !== undefined) return
    this.#winAtMs = nowMs + this.#timings.electionMs
    this.#win(this.replicatedState.copy.stampOf(`duty/${dispatcherDuty}`), nowMs)
  }

  #countBallot(vacancy: number, round: number, from: string, nowMs: number): void {
    if (this.#ballots.count(vacancy, round, from, this.raft.members.filter((one) => one.voter).length)) this.#win(vacancy, nowMs)
  }

  #win(vacancy: number, nowMs: number): void {
    this.#propose({ kind: 'duty', duty: dispatcherDuty, vacancy, holder: this.#plan.name, address: this.#life }, nowMs)
  }

  #dispatch(hour: number, nowMs: number): void {
    const dispatcher = this.#dispatcher
    if (dispatcher === undefined) return
    if (this.#network && !this.#leading) {
      if (nowMs < this.#vacateAtMs) return
      this.#vacateAtMs = nowMs + this.#timings.heartbeatMs
      this.#propose({ kind: 'vacate', duty: dispatcherDuty, epoch: dispatcher.epoch }, nowMs)
      return
    }
    if (nowMs - this.#dutyAskMs >= this.#timings.dutyLeaseMs / 6) {
      this.#dutyAskMs = nowMs
      const renew: Message = { kind: 'dutyRenew', duty: dispatcherDuty, epoch: dispatcher.epoch, sentMs: nowMs }
      if (!this.#leading) this.#send(this.#leaderAddress, renew)
      else if (this.raft.surelyLeads(nowMs) && this.replicatedState.duty(dispatcherDuty)?.epoch === dispatcher.epoch) {
        this.#dutyHeardMs.set(dispatcher.epoch, nowMs)
        this.#dutySureMs = nowMs
      }
    }
    const sure = nowMs - this.#dutySureMs < this.#timings.dutyLeaseMs
    if (sure && !this.#network && dispatcher.deaf(nowMs)) this.#passOn(dispatcher.epoch, nowMs)
    const out = dispatcher.tick(this.replicatedState.copy, sure, hour, nowMs)
    if (out.rows.length > 0) this.#propose({ kind: 'dispatch', epoch: dispatcher.epoch, rows: out.rows }, nowMs)
    for (const ask of out.asks) this.#effects.push({ kind: 'ask', ...ask, epoch: dispatcher.epoch, askedMs: nowMs })
    for (const order of out.orders) this.#effects.push({ kind: 'order', ...order })
  }

  /** A dispatcher that hears no servers leaves the duty to another core machine, and does not stand for a while. */
  #passOn(epoch: number, nowMs: number): void {
    if (nowMs < this.#standsFromMs) return
    this.#standsFromMs = nowMs + 4 * this.#timings.dutyLeaseMs
    this.#say('dispatcher', 'Hears no servers; leaves the duty to another core machine.')
    this.#propose({ kind: 'vacate', duty: dispatcherDuty, epoch }, nowMs)
  }

  #platform(full: PlatformServer[], askedMs: number, nowMs: number): void {
    if (this.#network) this.#dispatcher?.listed(full, askedMs, nowMs)
    if (!this.#leading || !this.raft.settled) return
    const servers = this.#network ? full.flatMap((one) => PlatformServer.safeParse({ ...one, models: undefined }).data ?? []) : full
    const listed = JSON.stringify([...servers].sort((a, b) => (a.name < b.name ? -1 : 1)))
    const same = this.#holdsServers(listed)
    if (same) this.#platformFreshMs = this.#platformAtMs - this.#timings.platformMs
    if (same || (listed === this.#platformSeen && this.raft.commit < this.raft.lastIndex)) return
    this.#platformSeen = listed
    this.#propose({ kind: 'platform', servers: listed }, nowMs)
  }

  /** True if the table holds just these servers. Rows as this release writes them are compared as they stand. */
  #holdsServers(listed: string): boolean {
    const rows = this.replicatedState.copy.under('server/').map(([, value]) => value)
    if (listed === `[${rows.join(',')}]`) return true
    return listed === JSON.stringify(rows.map((value) => PlatformServer.parse(JSON.parse(value))))
  }
}
