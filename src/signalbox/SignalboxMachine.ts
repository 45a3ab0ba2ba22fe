/**
 * A core node as one pure machine: the agreement and what it adds up to, the roster, licences,
 * ballots, the operators' desk and, while it holds the duty, the dispatcher. It is told what happened
 * and returns what to send, write, answer and ask.
 */
import type { Chance } from '../gauge/Chance.js'
import type { Pace } from '../gauge/Pace.js'
import { Agreement } from '../interlocking/Agreement.js'
import type { Member } from '../interlocking/Member.js'
import { Ballots } from '../interlocking/Ballots.js'
import { Command } from '../interlocking/Command.js'
import { Register } from '../interlocking/Register.js'
import { Relay } from '../interlocking/Relay.js'
import { Roster } from '../interlocking/Roster.js'
import { PlatformServer } from '../gauge/PlatformServer.js'
import type { Message } from '../telegraph/Message.js'
import { Dispatcher } from '../timetable/Dispatcher.js'
import type { Policy } from '../timetable/Policy.js'
import { CoreAccount } from './CoreAccount.js'
import { Operation } from './Operation.js'
import { OperatorsBook } from './OperatorsBook.js'
import { SeatDesk } from './SeatDesk.js'
import type { SignalboxEffect } from './SignalboxEffect.js'
import type { SignalboxInput } from './SignalboxInput.js'

interface Plan {
  name: string
  zone: string
  address: string
  seeds: readonly string[]
  /** Empty for a network: members are then whoever joins, and the seeds found where `bootstrap` is set. */
  seats: readonly string[]
  bootstrap: boolean
  rewriteBytes: number
  /** Model servers turn away the orders of an older tenure than one that they have seen. */
  fenced: boolean
  policy: Policy
  /** The system that an empty machine may join; any, if empty. */
  system: string
}
const dispatcherDuty = 'dispatcher'
const unreadMs = 1e9
const hourMs = 3_600_000
const jumpMs = 120_000
const keptCommits = 4096
const keptVoters = 3

export class SignalboxMachine {
  readonly agreement: Agreement
  register = new Register()
  readonly roster: Roster
  readonly #plan: Plan
  readonly #pace: Pace
  readonly #desk: SeatDesk
  readonly #ballots: Ballots
  readonly #relay: Relay
  readonly #book: OperatorsBook
  readonly #account: CoreAccount
  readonly #nonce: number
  #dispatcher: Dispatcher | undefined
  #dutySureMs = -Infinity
  #dutyAskMs = -Infinity
  #standsFromMs = -Infinity
  #dutyHeardMs = new Map<number, number>()
  #effects: SignalboxEffect[] = []
  #leading = false
  #leaderAddress = ''
  #hailAtMs = -Infinity
  #foundAtMs = -Infinity
  #platformAtMs = -Infinity
  /** When the platform's list was asked for that the table was last found to be level with. */
  #platformFreshMs = -Infinity
  #lastTickMs: number
  #seatsAsked = new Map<string, number>()
  #platformSeen = ''
  #applied = 0
  #logBytes = 0
  #seeds: readonly string[]
  readonly #network: boolean
  /** Where machines were when they last spoke of the agreement, by identity. */
  readonly #spokeFrom = new Map<string, string>()
  /** What system machines say that they belong to, by identity. */
  readonly #systems = new Map<string, string>()
  /** Since when this leader counts a member's silence. */
  #countedMs = new Map<string, number>()
  #committedMs = new Map<number, number>()
  #settledMs: number | undefined
  #vacateAtMs = -Infinity
  #winAtMs = -Infinity
  #clock: { hour: number; atMs: number } | undefined

  constructor(plan: Plan, pace: Pace, chance: Chance, disk: readonly Uint8Array[], nowMs: number) {
    this.#plan = plan
    this.#seeds = plan.seeds
    this.#network = plan.seats.length === 0
    this.#pace = pace
    this.agreement = new Agreement(plan.name, pace, chance.fork(), disk, nowMs)
    this.roster = new Roster(
      plan.name,
      plan.seeds.filter((seed) => seed !== plan.address),
      4 * pace.hailMs,
    )
    this.#desk = new SeatDesk(pace)
    this.#ballots = new Ballots(plan.name, pace, chance.fork())
    this.#relay = new Relay(pace.licenceMs)
    this.#nonce = chance.below(1e9)
    this.#account = new CoreAccount(
      pace,
      this.agreement,
      this.#desk,
      (identity) => this.#addressOf(identity),
      (seat) => (seat === plan.name ? this.#nonce : (this.roster.lives.get(seat) ?? 0)),
    )
    this.#book = new OperatorsBook(pace, this.#host())
    this.#lastTickMs = nowMs
    this.#logBytes = disk.reduce((sum, record) => sum + record.length, 0)
    this.#collect(nowMs)
  }

  #host(): ConstructorParameters<typeof OperatorsBook>[1] {
    const register = () => this.register
    const leading = () => this.#leading
    const leaderAddress = () => this.#leaderAddress
    const dispatches = () => this.#dispatcher !== undefined
    return {
      agreement: this.agreement,
      roster: this.roster,
      get register() {
        return register()
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
        this.#effects.push({ kind: 'respond', id: this.#network ? id.slice(this.#life.length + 1) : id, status, stamp, text })
      },
      delivered: (outcome, nowMs) => this.#delivered(outcome.stamp, nowMs),
      nodes: (nowMs) => this.#account.nodes(this.register, this.#seats, nowMs),
      servers: () => this.#account.servers(this.register),
      leaves: () => this.#account.leaves(this.register),
      placement: (nowMs) => this.#account.placement(this.register, this.#dispatcher, nowMs),
    }
  }

  /** Other seeds take the place of the old ones; whoever was learned of stays known. */
  reseed(seeds: readonly string[]): void {
    this.#seeds = seeds
    this.roster.reseed(seeds.filter((seed) => seed !== this.#plan.address))
    this.#hailAtMs = -Infinity
  }

  #delivered(stamp: number, nowMs: number): boolean {
    if (!this.#network) return this.#desk.licences.delivered(stamp, this.#seats, nowMs)
    const sinceMs = this.#committedMs.get(stamp) ?? this.#settledMs
    return sinceMs !== undefined && this.#desk.licences.adopted(stamp, sinceMs, nowMs)
  }

  get dispatcher(): Dispatcher | undefined {
    return this.#dispatcher
  }

  figures(nowMs: number): Record<string, number> {
    return {
      term: this.agreement.term,
      commit: this.agreement.commit,
      leads: this.#leading ? 1 : 0,
      dispatches: this.#dispatcher === undefined ? 0 : 1,
      seats_alive: this.#seats.filter((seat) => this.#desk.licences.alive(seat, nowMs)).length,
      operations_open: this.#book.open,
      log_bytes: this.#logBytes,
    }
  }

  /** What the constructor already asks for: the identity's first write. */
  begin(): SignalboxEffect[] {
    return this.#take()
  }

  step(input: SignalboxInput, nowMs: number): SignalboxEffect[] {
    switch (input.kind) {
      case 'tick':
        this.#watchClock(input.hour, nowMs)
        this.#tick(input.hour, nowMs)
        break
      case 'message':
        this.#message(input.from, input.fromAddress, input.message, nowMs)
        break
      case 'written':
        this.agreement.written(nowMs)
        break
      case 'operate':
        this.#book.operate(this.#network ? `${this.#life}/${input.id}` : input.id, input.operation, undefined, nowMs)
        break
      case 'platform':
        this.#platform(input.servers, input.askedMs, nowMs)
        break
      case 'reported':
        this.#dispatcher?.reported(input.server, input.report, input.askedMs, nowMs)
        break
      case 'replied':
        if (this.#dispatcher?.tenure === input.tenure)
          this.#dispatcher.replied(input.server, input.number, input.reply === 'held' ? 'accepted' : input.reply, nowMs)
        break
    }
    this.#collect(nowMs)
    return this.#take()
  }

  #take(): SignalboxEffect[] {
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
      this.roster.addressOf(identity) ??
      this.#spokeFrom.get(identity) ??
      this.agreement.members.find((one) => one.identity === identity)?.address ??
      ''
    )
  }

  /** Turns what the agreement asks for into effects, and applies what it committed. */
  #collect(nowMs: number): void {
    const out = this.agreement.take()
    for (const sentence of out.says) this.#say('agreement', sentence)
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
      this.register = out.adopted.state.length === 0 ? new Register() : Register.restore(out.adopted.state)
      this.#applied = out.adopted.index
    }
    for (const entry of out.applied) {
      const before = this.register.charterStamp
      if (entry.type === 'command') this.register.apply(entry.index, entry.bytes)
      this.#applied = entry.index
      if (this.#network && this.agreement.phase === 'leader') this.#committed(entry.index, nowMs)
      if (this.register.charterStamp !== before) {
        this.#desk.licences.charterMade(this.register.charterStamp, entry.term < this.agreement.term ? -Infinity : nowMs)
      }
    }
    if (out.applied.length > 0 || out.adopted !== undefined) {
      const system = this.register.copy.get('system')
      if (system !== undefined) this.agreement.belong(system, nowMs)
      this.#duty(nowMs)
      for (const send of this.#relay.push(this.register.copy, nowMs)) this.#send(send.toAddress, send.message)
    }
    for (const id of out.lostReads) {
      this.#book.lost(id)
    }
    for (const id of out.readable) this.#book.readable(id, nowMs)
    if ((this.agreement.phase === 'leader') !== this.#leading) {
      this.#leading = !this.#leading
      if (this.#leading) {
        this.#desk.begin(this.agreement.term, nowMs)
        this.#platformFreshMs = -Infinity
        this.#desk.licences.charterMade(this.register.charterStamp, -Infinity)
        this.#dutyHeardMs.clear()
        this.#countedMs.clear()
        this.#committedMs.clear()
        this.#settledMs = undefined
        this.#winAtMs = -Infinity
        this.#leaderAddress = this.#plan.address
      }
    } else if (this.agreement.leader !== '' && !this.#leading) this.#leaderAddress = this.#addressOf(this.agreement.leader)
    if (this.agreement.leader === '' && !this.#leading) this.#leaderAddress = ''
    if (this.#leading && this.agreement.settled) this.#settledMs ??= nowMs
    this.#book.finish(nowMs)
    if ((this.agreement.phase !== 'leader') === this.#leading) this.#collect(nowMs)
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
        this.#say('signalbox', `The wall clock jumped by ${String(this.#account.jumped.byMs)} ms; only hours of intents go by it.`)
      }
    }
    this.#clock = { hour, atMs: nowMs }
  }

  #tick(hour: number, nowMs: number): void {
    const late = nowMs - this.#lastTickMs
    this.#lastTickMs = nowMs
    if (late > this.#pace.frozenMs) this.#say('signalbox', `Was frozen for ${String(Math.round(late))} ms; confirms its licence first.`)
    this.agreement.tick(nowMs)
    this.#collect(nowMs)
    if (nowMs >= this.#hailAtMs) this.#hail(nowMs)
    this.#found(nowMs)
    if (this.#leading) this.#lead(nowMs)
    this.#standForDuty(nowMs)
    this.#dispatch(hour, nowMs)
    if (this.#logBytes > this.#plan.rewriteBytes && this.#applied > 0) {
      this.agreement.compact(this.#applied, this.register.save(), nowMs)
      this.#logBytes = 0
    }
    this.#book.tick(nowMs)
  }

  #hail(nowMs: number): void {
    this.#hailAtMs = nowMs + this.#pace.hailMs
    const known = this.roster.known
    const members = this.#network ? this.agreement.members.filter((one) => one.identity !== this.agreement.identity) : []
    const addresses = new Set([...this.roster.inquiries, ...members.map((one) => this.#addressOf(one.identity))])
    for (const address of addresses) {
      this.#send(address, {
        kind: 'hail',
        nonce: this.#nonce,
        role: 'signalbox',
        zone: this.#plan.zone,
        identity: this.agreement.identity,
        known,
        system: this.#system,
      })
    }
  }

  /** Only the lowest of the configured seats founds, and only when all have said to this very start that they are empty. */
  #found(nowMs: number): void {
    if (this.#network) {
      this.#bootstrap(nowMs)
      return
    }
    const seats = [...this.#plan.seats].sort()
    if (!this.agreement.empty || this.#plan.name !== seats[0]) return
    const others = seats.slice(1).map((seat) => this.roster.get(seat))
    if (!others.every((peer) => peer !== undefined && peer.empty && peer.identity !== '' && nowMs - peer.heardMs < 4 * this.#pace.hailMs))
      return
    const members = [{ identity: this.agreement.identity, seat: this.#plan.name, address: this.#plan.address, voter: true }]
    for (const peer of others)
      if (peer !== undefined) members.push({ identity: peer.identity, seat: peer.name, address: peer.address, voter: true })
    this.agreement.found(members, nowMs)
  }

  /** Only the process at the lowest seed founds, and only when every other seed has said to this very start that it is empty. */
  #bootstrap(nowMs: number): void {
    const seeds = [...new Set(this.#seeds)].sort()
    if (!this.#plan.bootstrap || !this.agreement.empty || this.#plan.address !== seeds[0]) return
    const boxes = this.roster.of('signalbox')
    const members = [{ identity: this.agreement.identity, seat: this.#plan.name, address: this.#plan.address, voter: true }]
    for (const seed of seeds.slice(1)) {
      const peer = boxes.find(
        (one) => one.address === seed && one.empty && one.identity !== '' && nowMs - one.heardMs < 4 * this.#pace.hailMs,
      )
      if (peer === undefined) return
      members.push({ identity: peer.identity, seat: peer.name, address: peer.address, voter: true })
    }
    this.agreement.found(members, nowMs)
  }

  #lead(nowMs: number): void {
    if (nowMs >= this.#platformAtMs) {
      this.#platformAtMs = nowMs + this.#pace.platformMs
      this.#effects.push({ kind: 'askPlatform', askedMs: nowMs })
    }
    const duty = this.register.duty(dispatcherDuty)
    if (duty !== undefined) {
      const heardMs = this.#dutyHeardMs.get(duty.tenure)
      const forgotten = this.#network && duty.holder === this.#plan.name && duty.address !== this.#life && this.agreement.settled
      if (heardMs === undefined) this.#dutyHeardMs.set(duty.tenure, forgotten ? -Infinity : nowMs)
      else if (nowMs - heardMs > 1.1 * this.#pace.dutyLicenceMs || this.#mayTakeOver(duty.holder)) {
        this.#propose({ kind: 'vacate', duty: dispatcherDuty, tenure: duty.tenure }, nowMs)
        this.#dutyHeardMs.set(duty.tenure, nowMs)
      }
    }
    if (this.register.copy.get('system') === undefined && this.agreement.settled && nowMs >= this.#foundAtMs) {
      this.#foundAtMs = nowMs + this.#pace.electionMs
      this.#propose({ kind: 'found', system: this.agreement.identity, again: false }, nowMs)
    }
    if (this.#network) {
      this.#desk.licences.forget(nowMs)
      this.#replaceMembers(nowMs)
    } else this.#seatReplicas(nowMs)
  }

  /** How long a member has been silent to this leader, which counts from when it began to lead or took the member in. */
  #silentMs(identity: string, nowMs: number): number {
    if (identity === this.agreement.identity) return 0
    return nowMs - Math.max(this.agreement.heardMs(identity), this.#countedMs.get(identity) ?? nowMs)
  }

  /** One change at a time: whoever comes is a learner first, and takes the place of who is gone. */
  #replaceMembers(nowMs: number): void {
    const members = [...this.agreement.members]
    this.#countedMs = new Map(members.map((one) => [one.identity, this.#countedMs.get(one.identity) ?? nowMs]))
    if (!this.agreement.settled || this.agreement.changing) return
    const change = (sentence: string, next: Member[]) => {
      if (this.agreement.changeMembers(next, nowMs)) this.#say('agreement', sentence)
    }
    const silent = (one: Member, spanMs: number) => this.#silentMs(one.identity, nowMs) > spanMs
    const without = (gone: Member) => members.filter((one) => one !== gone)
    const lateMs = 2 * this.#pace.electionMs
    const voters = members.filter((one) => one.voter)
    const learners = members.filter((one) => !one.voter)
    const goneLearner = learners.find((one) => silent(one, this.#pace.memberGoneMs))
    if (goneLearner !== undefined) {
      change(`Gives up ${goneLearner.seat}, which fell silent as a learner.`, without(goneLearner))
      return
    }
    for (const learner of learners) {
      if (silent(learner, lateMs) || !this.agreement.caughtUp(learner.identity)) continue
      const old = members.find((one) => one.seat === learner.seat && one !== learner)
      const gone = old ?? voters.find((one) => silent(one, lateMs))
      const rest = voters.filter((one) => one !== gone)
      if (gone === undefined) {
        change(
          `Gives ${learner.seat} its vote.`,
          members.map((one) => (one === learner ? { ...one, voter: true } : one)),
        )
      } else if (rest.filter((one) => !silent(one, lateMs)).length * 2 > rest.length) {
        change(`Retires an identity of ${gone.seat} that is gone; ${learner.seat} is there for it.`, without(gone))
      } else continue
      return
    }
    for (const peer of this.roster.of('signalbox')) {
      if (peer.identity === '' || nowMs - peer.heardMs > 4 * this.#pace.hailMs) continue
      if (members.some((one) => one.identity === peer.identity)) continue
      const ours = this.agreement.system !== '' && this.#systems.get(peer.identity) === this.agreement.system
      const old = members.find((one) => one.seat === peer.name)
      if ((!peer.empty && !ours) || (old !== undefined && !silent(old, lateMs))) continue
      change(`Takes ${peer.name} in as a learner.`, [
        ...members,
        { identity: peer.identity, seat: peer.name, address: peer.address, voter: false },
      ])
      return
    }
    const gone = voters.find((one) => silent(one, this.#pace.memberGoneMs))
    if (gone === undefined || learners.length > 0 || voters.length <= keptVoters) return
    if (voters.every((one) => one === gone || !silent(one, lateMs))) change(`Gives up ${gone.seat}, which fell silent.`, without(gone))
  }

  /** A new replica in an old seat: first a learner, then, once caught up and the old one silent, its place. */
  #seatReplicas(nowMs: number): void {
    if (!this.agreement.settled || this.agreement.changing) return
    const members = [...this.agreement.members]
    for (const seat of this.#plan.seats) {
      const peer = this.roster.get(seat)
      if (peer === undefined || peer.identity === '' || nowMs - peer.heardMs > 4 * this.#pace.hailMs) continue
      const own = members.find((one) => one.identity === peer.identity)
      const old = members.find((one) => one.seat === seat && one.identity !== peer.identity)
      if (own === undefined) {
        if (old !== undefined && nowMs - this.agreement.heardMs(old.identity) < 2 * this.#pace.electionMs) continue
        this.#say('agreement', `Takes ${seat} in as a learner under its new identity.`)
        this.agreement.changeMembers([...members, { identity: peer.identity, seat, address: peer.address, voter: false }], nowMs)
        return
      }
      if (own.voter || !this.agreement.caughtUp(own.identity)) continue
      if (old !== undefined) {
        this.#say('agreement', `Retires the identity that ${seat} lost.`)
        this.agreement.changeMembers(
          members.filter((one) => one !== old),
          nowMs,
        )
      } else {
        this.#say('agreement', `Gives ${seat} its vote under its new identity.`)
        this.agreement.changeMembers(
          members.map((one) => (one === own ? { ...own, voter: true } : one)),
          nowMs,
        )
      }
      return
    }
  }

  #propose(command: Command, nowMs: number): void {
    const bytes = Command.encode(command)
    if (this.agreement.phase === 'leader') this.agreement.propose(bytes, nowMs)
    else this.#send(this.#leaderAddress, { kind: 'propose', id: '', command: bytes })
  }

  #message(from: string, fromAddress: string, message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'hail': {
        if (this.#strange(message.system)) break
        if (message.role === 'signalbox') this.#systems.set(message.identity, message.system)
        if (message.role === 'signalbox') this.roster.lives.set(from, message.nonce)
        const before = this.roster.get(from)
        const empty = before?.identity === message.identity && before.empty
        if (message.role === 'signalbox')
          this.roster.heard(
            { name: from, address: fromAddress, role: message.role, zone: message.zone, identity: message.identity, empty },
            nowMs,
          )
        this.roster.hearsay(message.known, nowMs)
        const { agreement } = this
        this.#send(fromAddress, {
          kind: 'hailed',
          nonce: message.nonce,
          role: 'signalbox',
          zone: this.#plan.zone,
          identity: agreement.identity,
          empty: agreement.empty,
          leader: this.#leaderAddress,
          known: this.roster.known,
          system: this.#system,
        })
        break
      }
      case 'hailed': {
        if (message.nonce !== this.#nonce || this.#strange(message.system)) break
        if (message.role === 'signalbox') this.#systems.set(message.identity, message.system)
        this.roster.heard(
          { name: from, address: fromAddress, role: message.role, zone: message.zone, identity: message.identity, empty: message.empty },
          nowMs,
        )
        this.roster.hearsay(message.known, nowMs)
        this.#joinSystem(message.system, nowMs)
        break
      }
      case 'ballotAsk':
      case 'ballotGive':
      case 'append':
      case 'appended':
      case 'view': {
        if (this.#network) this.#spokeFrom.set(message.from, fromAddress)
        this.agreement.receive(message, nowMs)
        break
      }
      case 'propose':
        if (this.#leading) this.agreement.propose(message.command, nowMs)
        break
      case 'renew':
        this.#renew(from, fromAddress, message, nowMs)
        break
      case 'stand': {
        const given = this.register.duty(message.duty) === undefined && this.#ballots.give(message.vacancy, message.round, from, nowMs)
        this.#send(fromAddress, { kind: 'ballot', duty: message.duty, vacancy: message.vacancy, round: message.round, given })
        break
      }
      case 'ballot':
        if (message.given) this.#countBallot(message.vacancy, message.round, from, nowMs)
        break
      case 'dutyRenew': {
        if (!this.agreement.surelyLeads(nowMs) || this.register.duty(message.duty)?.tenure !== message.tenure) break
        this.#dutyHeardMs.set(message.tenure, nowMs)
        this.#send(fromAddress, { kind: 'dutyLicence', duty: message.duty, tenure: message.tenure, sentMs: message.sentMs })
        break
      }
      case 'dutyLicence':
        if (this.#dispatcher?.tenure === message.tenure) this.#dutySureMs = Math.max(this.#dutySureMs, message.sentMs)
        break
      case 'follow':
        for (const send of this.#relay.followed(fromAddress, message, this.register.copy, nowMs)) this.#send(send.toAddress, send.message)
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
        if (read.success) this.#book.operate(message.id, read.data, fromAddress, nowMs)
        break
      }
      case 'operated': {
        this.#book.operated(message)
        break
      }
      default:
    }
  }

  #tellOutlook(held: readonly { model: string; adapter: string }[], toAddress: string, nowMs: number): void {
    if (this.#dispatcher === undefined || held.length === 0 || nowMs - this.#dutySureMs >= this.#pace.dutyLicenceMs) return
    this.#send(toAddress, { kind: 'outlook', models: this.#dispatcher.outlook(held, nowMs) })
  }

  get #system(): string {
    return this.agreement.system === '' ? this.#plan.system : this.agreement.system
  }

  /** Once taken in, a new machine writes down whose it is, before it has applied the row that says so: it may be left out again. */
  #joinSystem(system: string, nowMs: number): void {
    if (!this.#network || system === '' || this.agreement.system !== '') return
    if (this.agreement.members.some((one) => one.identity === this.agreement.identity)) this.agreement.belong(system, nowMs)
  }

  /** True of a machine that belongs to another core: one that was founded again from this one's disks, or that this one was. */
  #strange(system: string): boolean {
    return system !== '' && this.#system !== '' && system !== this.#system
  }

  #renew(from: string, fromAddress: string, renew: Extract<Message, { kind: 'renew' }>, nowMs: number): void {
    this.roster.heard(
      { name: from, address: fromAddress, role: renew.role, zone: renew.zone, identity: renew.session, empty: false },
      nowMs,
    )
    if (!this.agreement.surelyLeads(nowMs) || !this.agreement.settled) return
    if (!this.#network && this.register.copy.get(`seat/${renew.seat}`) === undefined) {
      if (nowMs - (this.#seatsAsked.get(renew.seat) ?? -Infinity) > this.#pace.electionMs) {
        this.#seatsAsked.set(renew.seat, nowMs)
        this.#propose({ kind: 'seat', name: renew.seat, role: renew.role, zone: renew.zone, retired: false, operation: '' }, nowMs)
      }
      return
    }
    const ageMs = Math.min(nowMs - this.#platformFreshMs, unreadMs)
    this.#send(fromAddress, this.#desk.renew(renew, fromAddress, this.register.copy, ageMs, nowMs, this.#dispatcher?.loads(nowMs)))
    this.#book.finish(nowMs)
  }

  get #seats(): string[] {
    if (this.#network) return this.#desk.licences.seats.map(([seat]) => seat)
    return this.register.copy.under('seat/').map(([name]) => name)
  }

  // The duty.

  /** This life of this machine: a duty won in an earlier one is not taken up again, for its orders are forgotten. */
  get #life(): string {
    return `${this.agreement.identity}/${String(this.#nonce)}`
  }

  /** Where servers check tenures an earlier leader's duty is ended at once: whatever it still sends is turned away. */
  #mayTakeOver(holder: string): boolean {
    return this.#network && this.#plan.fenced && this.agreement.settled && holder !== this.#plan.name
  }

  #duty(nowMs: number): void {
    const duty = this.register.duty(dispatcherDuty)
    const mine = duty?.holder === this.#plan.name && duty.address === this.#life
    if (mine && this.#dispatcher?.tenure !== duty.tenure) {
      this.#dispatcher = new Dispatcher(this.#pace, duty.tenure, duty.vacancy === 0, this.#plan.policy, nowMs)
      this.#dutySureMs = -Infinity
      this.#dutyAskMs = -Infinity
      this.#say('dispatcher', `Holds the duty in tenure ${String(duty.tenure)}.`)
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
    const voter = this.agreement.members.some((one) => one.identity === this.agreement.identity && one.voter)
    const vacant = nowMs >= this.#standsFromMs && voter && this.agreement.leader !== '' && this.register.duty(dispatcherDuty) === undefined
    const vacancy = this.register.copy.stampOf(`duty/${dispatcherDuty}`)
    const round = this.#ballots.tick(vacant ? vacancy : undefined, nowMs)
    if (round === undefined) return
    for (const member of this.agreement.members) {
      if (member.identity !== this.agreement.identity)
        this.#send(this.#addressOf(member.identity), { kind: 'stand', duty: dispatcherDuty, vacancy, round })
    }
    if (this.agreement.members.length === 1) this.#win(vacancy, nowMs)
  }

  /** In a network the leader alone dispatches; the log has the last word, so it needs no ballots. */
  #leaderStands(nowMs: number): void {
    if (!this.#leading || !this.agreement.settled || nowMs < this.#winAtMs) return
    if (this.register.duty(dispatcherDuty) !== undefined) return
    this.#winAtMs = nowMs + this.#pace.electionMs
    this.#win(this.register.copy.stampOf(`duty/${dispatcherDuty}`), nowMs)
  }

  #countBallot(vacancy: number, round: number, from: string, nowMs: number): void {
    if (this.#ballots.count(vacancy, round, from, this.agreement.members.filter((one) => one.voter).length)) this.#win(vacancy, nowMs)
  }

  #win(vacancy: number, nowMs: number): void {
    this.#propose({ kind: 'duty', duty: dispatcherDuty, vacancy, holder: this.#plan.name, address: this.#life }, nowMs)
  }

  #dispatch(hour: number, nowMs: number): void {
    const dispatcher = this.#dispatcher
    if (dispatcher === undefined) return
    if (this.#network && !this.#leading) {
      if (nowMs < this.#vacateAtMs) return
      this.#vacateAtMs = nowMs + this.#pace.heartbeatMs
      this.#propose({ kind: 'vacate', duty: dispatcherDuty, tenure: dispatcher.tenure }, nowMs)
      return
    }
    if (nowMs - this.#dutyAskMs >= this.#pace.dutyLicenceMs / 6) {
      this.#dutyAskMs = nowMs
      const renew: Message = { kind: 'dutyRenew', duty: dispatcherDuty, tenure: dispatcher.tenure, sentMs: nowMs }
      if (!this.#leading) this.#send(this.#leaderAddress, renew)
      else if (this.agreement.surelyLeads(nowMs) && this.register.duty(dispatcherDuty)?.tenure === dispatcher.tenure) {
        this.#dutyHeardMs.set(dispatcher.tenure, nowMs)
        this.#dutySureMs = nowMs
      }
    }
    const sure = nowMs - this.#dutySureMs < this.#pace.dutyLicenceMs
    if (sure && !this.#network && dispatcher.deaf(nowMs)) this.#passOn(dispatcher.tenure, nowMs)
    const out = dispatcher.tick(this.register.copy, sure, hour, nowMs)
    if (out.rows.length > 0) this.#propose({ kind: 'dispatch', tenure: dispatcher.tenure, rows: out.rows }, nowMs)
    for (const ask of out.asks) this.#effects.push({ kind: 'ask', ...ask, tenure: dispatcher.tenure, askedMs: nowMs })
    for (const order of out.orders) this.#effects.push({ kind: 'order', ...order })
  }

  /** A dispatcher that hears no servers leaves the duty to another core machine, and does not stand for a while. */
  #passOn(tenure: number, nowMs: number): void {
    if (nowMs < this.#standsFromMs) return
    this.#standsFromMs = nowMs + 4 * this.#pace.dutyLicenceMs
    this.#say('dispatcher', 'Hears no servers; leaves the duty to another core machine.')
    this.#propose({ kind: 'vacate', duty: dispatcherDuty, tenure }, nowMs)
  }

  #platform(full: PlatformServer[], askedMs: number, nowMs: number): void {
    if (this.#network) this.#dispatcher?.listed(full, askedMs, nowMs)
    if (!this.#leading || !this.agreement.settled) return
    const servers = this.#network ? full.flatMap((one) => PlatformServer.safeParse({ ...one, models: undefined }).data ?? []) : full
    const listed = JSON.stringify([...servers].sort((a, b) => (a.name < b.name ? -1 : 1)))
    const held = JSON.stringify(this.register.copy.under('server/').map(([, value]) => PlatformServer.parse(JSON.parse(value))))
    if (listed === held) this.#platformFreshMs = this.#platformAtMs - this.#pace.platformMs
    if (listed === held || (listed === this.#platformSeen && this.agreement.commit < this.agreement.lastIndex)) return
    this.#platformSeen = listed
    this.#propose({ kind: 'platform', servers: listed }, nowMs)
  }
}
