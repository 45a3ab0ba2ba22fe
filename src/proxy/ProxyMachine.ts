/**
 * A proxy as one pure machine. Requests and servers are entities in tables; the systems bind
 * waiting requests to servers, give up those that are due, and tell the agent what is seen. New
 * work starts only while the charter is current. A request is sent again only when it surely did not
 * run, or may be repeated, and never once a byte of a response went to its caller.
 */
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import type { Terms } from '../common/Terms.js'
import { Verdict } from '../common/Verdict.js'
import { CharterReader } from '../consensus/CharterReader.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { Message } from '../transport/Message.js'
import { Phase } from './Phase.js'
import type { Platform } from './Platform.js'
import { Platforms } from './Platforms.js'
import type { Traveller } from './Traveller.js'
import type { ProxyEffect } from './ProxyEffect.js'
import type { ProxyInput } from './ProxyInput.js'

interface Plan {
  name: string
  seat: string
  zone: string
  agent: string
}
interface Outlook {
  heardMs: number
  readyAtMs: number
  neverBeforeMs: number
}

export class ProxyMachine {
  readonly copy = new ReplicaTable()
  readonly #plan: Plan
  readonly #timings: Timings
  readonly #session: string
  readonly #travellers = new Map<string, Traveller>()
  readonly #platforms: Platforms
  readonly #outlooks = new Map<string, Outlook>()
  #firsts = new Map<string, number>()
  #asked = ''
  readonly #reader = new CharterReader()
  #effects: ProxyEffect[] = []
  #permitUntilMs = -Infinity
  #followAtMs = -Infinity
  #tallyAtMs = -Infinity
  #follows = 0
  #arrivals = new Map<string, { model: string; adapter: string; count: number; lastMs: number }>()
  #turn = 0

  constructor(plan: Plan, timings: Timings, random: Random) {
    this.#plan = plan
    this.#timings = timings
    this.#platforms = new Platforms(plan.zone, timings, random)
    this.#session = random.below(4294967296).toString(36)
  }

  current(nowMs: number): boolean {
    return nowMs < this.#permitUntilMs && this.copy.get('charter') !== undefined
  }

  step(input: ProxyInput, nowMs: number): ProxyEffect[] {
    switch (input.kind) {
      case 'tick':
        this.#tick(nowMs)
        break
      case 'message':
        this.#message(input.message, nowMs)
        break
      case 'arrived':
        this.#arrived(input, nowMs)
        break
      case 'callerGone':
        this.#callerGone(input.id)
        break
      default:
        this.#attempted(input, nowMs)
    }
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  #tick(nowMs: number): void {
    if (nowMs >= this.#followAtMs) {
      this.#followAtMs = nowMs + this.#timings.renewMs / 2
      this.#follows += 1
      this.#effects.push({
        kind: 'send',
        toAddress: this.#plan.agent,
        message: {
          kind: 'follow',
          seat: this.#plan.seat,
          stamp: this.copy.stamp,
          sentMs: nowMs,
          digests: this.#follows % 8 === 0 ? this.copy.digests : [],
        },
      })
    }
    const tell = nowMs >= this.#tallyAtMs
    if (tell) this.#tell(nowMs)
    this.#giveUp(nowMs)
    this.#leaveDark(nowMs)
    this.#bindAll(nowMs)
    this.#ask(nowMs, tell)
  }

  /** A server that leaves an attempt without an identity, or a request without a first byte, for too long is not trusted. */
  #leaveDark(nowMs: number): void {
    for (const traveller of this.#travellers.values()) {
      const platform = this.#platforms.get(traveller.server)
      if (traveller.phase === 'connecting' && nowMs - traveller.boundMs >= this.#timings.reportMs) {
        this.#effects.push({ kind: 'release', id: traveller.id, attempt: traveller.attempt })
        this.#again(traveller, platform, 'the server did not say who it is', nowMs)
      } else if (traveller.phase === 'sent' && nowMs - traveller.sentMs >= this.#timings.firstByteMs)
        this.#leaveSilent(traveller, platform, nowMs)
    }
  }

  /** Without a first byte a repeatable request goes elsewhere, once a further try is granted; another waits, for it may have run. */
  #leaveSilent(traveller: Traveller, platform: Platform | undefined, nowMs: number): void {
    const terms = this.#termsOf(traveller)
    if (platform !== undefined && nowMs >= platform.suspectUntilMs) this.#platforms.suspect(platform, nowMs)
    traveller.impatient = terms?.repeatable === true
    if (terms === undefined || !traveller.impatient || !traveller.pass) return
    if (this.#platforms.choose(traveller.target, terms, nowMs) === undefined) return
    traveller.mayHaveRun = true
    this.#effects.push({ kind: 'release', id: traveller.id, attempt: traveller.attempt })
    this.#again(traveller, platform, 'the server gave no first byte', nowMs)
  }

  #message(message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'permit':
        if (message.sentMs <= nowMs) this.#permit(message)
        break
      case 'outlook':
        for (const { model, adapter, readyInMs, neverBeforeMs } of message.models) {
          this.#outlooks.set(`${model}/${adapter}`, { heardMs: nowMs, readyAtMs: nowMs + readyInMs, neverBeforeMs: nowMs + neverBeforeMs })
        }
        return
      case 'news':
        if (this.copy.adopt(message.since, message.stamp, message.rows).length > 0) this.#adopted(nowMs)
        break
      case 'mend':
        if (message.stamp === this.copy.stamp && this.copy.mend(message.range, message.rows).length > 0) this.#adopted(nowMs)
        break
      default:
        return
    }
    this.#bindAll(nowMs)
  }

  #permit(permit: Extract<Message, { kind: 'permit' }>): void {
    this.#permitUntilMs = Math.max(this.#permitUntilMs, permit.sentMs + permit.forMs)
    this.#platforms.barred = new Set(permit.barred)
    this.#platforms.lent.take(permit.serial, permit.sentMs + permit.lentMs, permit.shares)
    const granted = new Set(permit.again)
    for (const traveller of this.#travellers.values()) if (traveller.sends > 0 && granted.has(this.#tryOf(traveller))) traveller.pass = true
  }

  #tryOf(traveller: Traveller): string {
    return `${this.#session}.${traveller.id}.${String(traveller.sends)}`
  }

  /** Tells the agent what this proxy wants of shared limits, at once when it wants more than it said. */
  #ask(nowMs: number, tell: boolean): void {
    const asks = this.#platforms.asks(nowMs)
    const again = [...this.#travellers.values()]
      .filter((one) => one.sends > 0 && !one.pass && (one.phase === 'held' || one.impatient))
      .map((one) => ({ id: this.#tryOf(one), key: `${one.target.kind} ${one.target.name}` }))
    const asked = JSON.stringify([asks.map((one) => [one.key, one.want]), again])
    if (!tell && asked === this.#asked) return
    if (!tell && again.length === 0 && asks.every((one) => one.want <= one.held)) return
    this.#asked = asked
    const firsts = [...this.#firsts].map(([key, count]) => ({ key, count }))
    this.#firsts.clear()
    const message: Message = { kind: 'ask', asks, echo: this.#platforms.lent.serial, again, firsts }
    this.#effects.push({ kind: 'send', toAddress: this.#plan.agent, message })
  }

  /** Brings the tables in line with the copy. */
  #adopted(nowMs: number): void {
    this.#followAtMs = nowMs
    this.#tallyAtMs = Math.min(this.#tallyAtMs, nowMs)
    this.#reader.follow(this.copy)
    this.#platforms.adopt(this.copy, this.#reader.charter, this.#plan.seat, nowMs)
  }

  #arrived(input: Extract<ProxyInput, { kind: 'arrived' }>, nowMs: number): void {
    const { target } = input
    const terms = this.#reader.terms.get(`${target.kind} ${target.name}`)
    const traveller: Traveller = {
      id: input.id,
      target,
      partner: terms?.partner ?? '',
      bytes: input.bytes,
      arrivedMs: nowMs,
      dueMs: nowMs + (input.dueInMs ?? terms?.limits.dueMs ?? this.#timings.operateMs),
      dueGiven: input.dueInMs !== undefined,
      phase: 'arrived',
      attempt: 0,
      server: '',
      sends: 0,
      mayHaveRun: false,
      pass: false,
      impatient: false,
      notBeforeMs: 0,
      boundMs: 0,
      sentMs: 0,
      lastWhy: '',
    }
    this.#travellers.set(input.id, traveller)
    if (target.kind === 'model') {
      const key = `${target.name}/${target.adapter}`
      const seen = this.#arrivals.get(key)
      if (seen === undefined) this.#arrivals.set(key, { model: target.name, adapter: target.adapter, count: 1, lastMs: nowMs })
      else {
        seen.count += 1
        seen.lastMs = nowMs
      }
    }
    this.#bind(traveller, nowMs)
  }

  #to(traveller: Traveller, phase: Phase): void {
    if (!Phase.allows(traveller.phase, phase)) throw new Error(`a request may not go from ${traveller.phase} to ${phase}`)
    traveller.phase = phase
    if (Phase.final(phase)) this.#travellers.delete(traveller.id)
  }

  #unbind(traveller: Traveller): void {
    const platform = this.#platforms.get(traveller.server)
    if (platform !== undefined) platform.flights -= 1
    traveller.server = ''
  }

  #turnAway(traveller: Traveller, status: number, verdict: Verdict, why: string, nowMs: number): void {
    if (traveller.server !== '') this.#unbind(traveller)
    this.#to(traveller, 'turnedAway')
    const told = traveller.mayHaveRun ? Verdict.mayHaveRun : verdict
    this.#effects.push({ kind: 'turnAway', id: traveller.id, status, verdict: told, retryAfterS: this.#comeBackS(traveller, nowMs), why })
  }

  /** When to come back: the load under way or in turn, the election, or the first server that is trusted again. */
  #comeBackS(traveller: Traveller, nowMs: number): number {
    const { target } = traveller
    let waitMs = this.#timings.reportMs
    const terms = this.#termsOf(traveller)
    if (!this.current(nowMs)) waitMs = this.#timings.electionMs + this.#timings.electionSpreadMs + this.#timings.leaseMs
    else if (terms !== undefined) {
      const trustedAtMs = this.#platforms.trustedAtMs(target, terms)
      const outlook = this.#outlook(target, nowMs)
      if (trustedAtMs !== undefined) waitMs = Math.max(waitMs, trustedAtMs - nowMs)
      else if (outlook !== undefined) waitMs = outlook.readyAtMs - nowMs
      else waitMs = this.#timings.reportStaleMs
    }
    return Math.max(1, Math.ceil(waitMs / 1000))
  }

  /** What the dispatcher last said of a model that requests wait for. */
  #outlook(target: Traveller['target'], nowMs: number): Outlook | undefined {
    const outlook = target.kind === 'model' ? this.#outlooks.get(`${target.name}/${target.adapter}`) : undefined
    return outlook !== undefined && nowMs - outlook.heardMs < this.#timings.leaseMs ? outlook : undefined
  }

  #termsOf(traveller: Traveller): Terms | undefined {
    return this.#reader.terms.get(`${traveller.target.kind} ${traveller.target.name}`)
  }

  /** Ends what is due, and at once what certainly cannot be served by its due. */
  #giveUp(nowMs: number): void {
    for (const traveller of this.#travellers.values()) {
      if (traveller.phase === 'streaming') continue
      if (nowMs < traveller.dueMs) {
        if (traveller.phase !== 'held' || traveller.mayHaveRun || !this.current(nowMs)) continue
        const outlook = this.#outlook(traveller.target, nowMs)
        if (outlook === undefined || outlook.neverBeforeMs <= traveller.dueMs) continue
        this.#turnAway(traveller, 503, Verdict.notRun, 'the weight store cannot give the model before the due', nowMs)
        continue
      }
      const ran = traveller.phase === 'sent' || traveller.mayHaveRun
      if (traveller.server !== '') this.#effects.push({ kind: 'release', id: traveller.id, attempt: traveller.attempt })
      const why = `due passed${traveller.lastWhy === '' ? '' : `; last: ${traveller.lastWhy}`}`
      this.#turnAway(traveller, ran ? 504 : 503, ran ? Verdict.mayHaveRun : Verdict.notRun, why, nowMs)
    }
  }

  /** Waiting requests in turn by partner, each partner's by due. */
  #bindAll(nowMs: number): void {
    this.#platforms.recount()
    const waiting = [...this.#travellers.values()].filter((one) => one.phase === 'held')
    if (waiting.length === 0) return
    waiting.sort((a, b) => a.dueMs - b.dueMs)
    const lanes = new Map<string, Traveller[]>()
    for (const one of waiting) {
      const lane = lanes.get(one.partner)
      if (lane === undefined) lanes.set(one.partner, [one])
      else lane.push(one)
    }
    this.#turn += 1
    const queues = [...lanes.values()]
    for (let at = 0; queues.some((queue) => queue.length > 0); at++) {
      const next = queues[(at + this.#turn) % queues.length]?.shift()
      if (next !== undefined) this.#bind(next, nowMs)
    }
  }

  #bind(traveller: Traveller, nowMs: number): void {
    const terms = this.#termsOf(traveller)
    const unknown =
      terms === undefined ||
      (traveller.target.kind === 'model' && traveller.target.adapter !== '' && !terms.adapters.includes(traveller.target.adapter))
    if (!this.current(nowMs)) {
      this.#hold(traveller)
      return
    }
    if (unknown) {
      this.#turnAway(
        traveller,
        404,
        Verdict.notRun,
        terms === undefined ? `no ${traveller.target.kind} is named ${traveller.target.name}` : 'no such adapter',
        nowMs,
      )
      return
    }
    if (traveller.partner === '') {
      traveller.partner = terms.partner
      if (!traveller.dueGiven) traveller.dueMs = traveller.arrivedMs + terms.limits.dueMs
    }
    if (traveller.bytes > terms.limits.bodyLimitBytes) {
      this.#turnAway(traveller, 413, Verdict.notRun, `the body is over ${String(terms.limits.bodyLimitBytes)} bytes`, nowMs)
      return
    }
    if (nowMs >= traveller.dueMs || nowMs < traveller.notBeforeMs || (traveller.sends > 0 && !traveller.pass)) {
      this.#hold(traveller)
      return
    }
    const platform = this.#platforms.choose(traveller.target, terms, nowMs)
    if (platform === undefined) {
      this.#hold(traveller)
      return
    }
    this.#to(traveller, 'bound')
    platform.flights += 1
    traveller.server = platform.name
    traveller.attempt += 1
    traveller.boundMs = nowMs
    this.#to(traveller, 'connecting')
    this.#effects.push({
      kind: 'attempt',
      id: traveller.id,
      attempt: traveller.attempt,
      server: platform.name,
      address: platform.address,
      fresh: !terms.repeatable,
    })
  }

  #hold(traveller: Traveller): void {
    if (traveller.phase !== 'held') this.#to(traveller, 'held')
  }

  #callerGone(id: string): void {
    const traveller = this.#travellers.get(id)
    if (traveller === undefined) return
    if (traveller.server !== '') {
      this.#effects.push({ kind: 'release', id, attempt: traveller.attempt })
      this.#unbind(traveller)
    }
    this.#travellers.delete(id)
  }

  #attempted(input: Exclude<ProxyInput, { kind: 'tick' | 'message' | 'arrived' | 'callerGone' }>, nowMs: number): void {
    const traveller = this.#travellers.get(input.id)
    if (traveller === undefined || traveller.attempt !== input.attempt || traveller.server === '') return
    const platform = this.#platforms.get(traveller.server)
    const terms = this.#termsOf(traveller)
    switch (input.kind) {
      case 'identified':
        this.#identified(traveller, platform, terms, input, nowMs)
        break
      case 'sent':
        break
      case 'head': {
        if (input.notRun && traveller.phase === 'sent') {
          this.#effects.push({ kind: 'release', id: input.id, attempt: input.attempt })
          this.#again(traveller, platform, 'the server turned it away', nowMs)
          break
        }
        this.#to(traveller, 'streaming')
        if (platform !== undefined) platform.defects = 0
        this.#effects.push({ kind: 'relay', id: input.id, attempt: input.attempt })
        break
      }
      case 'ended': {
        this.#unbind(traveller)
        this.#to(traveller, 'responded')
        break
      }
      case 'defect':
        this.#defected(traveller, platform, terms, input, nowMs)
        break
    }
  }

  #identified(
    traveller: Traveller,
    platform: Platform | undefined,
    terms: Terms | undefined,
    input: Extract<ProxyInput, { kind: 'identified' }>,
    nowMs: number,
  ): void {
    this.#to(traveller, 'identified')
    const release = (why: string) => {
      this.#effects.push({ kind: 'release', id: traveller.id, attempt: traveller.attempt })
      this.#again(traveller, platform, why, nowMs, false)
    }
    if (platform === undefined || terms === undefined || input.server !== traveller.server) {
      if (platform !== undefined) this.#platforms.suspect(platform, nowMs)
      release('another server has its address')
      return
    }
    this.#platforms.met(platform, input.incarnation, input.upMs, terms.limits.warmMs, nowMs)
    if (!this.current(nowMs) || !this.#platforms.mayUse(platform, traveller.target, terms)) {
      release('no longer allowed there')
      return
    }
    if (traveller.target.kind === 'model' && platform.said !== input.incarnation) {
      release('the server has started anew and holds nothing until it says so')
      traveller.notBeforeMs = nowMs + this.#timings.heartbeatMs
      return
    }
    if (nowMs >= traveller.dueMs) return
    if (platform.flights > this.#platforms.limit(platform, terms, nowMs)) {
      release('the server is still cold')
      return
    }
    const key = `${traveller.target.kind} ${traveller.target.name}`
    if (traveller.sends === 0) this.#firsts.set(key, (this.#firsts.get(key) ?? 0) + 1)
    traveller.pass = false
    traveller.impatient = false
    traveller.sentMs = nowMs
    traveller.sends += 1
    this.#to(traveller, 'sent')
    if (traveller.target.kind === 'model') this.#platforms.remember(platform, traveller.target.chain, nowMs)
    this.#effects.push({ kind: 'go', id: traveller.id, attempt: traveller.attempt })
  }

  /** Back to waiting: it surely did not run, or may be repeated. */
  #again(traveller: Traveller, platform: Platform | undefined, why: string, nowMs: number, suspect = true): void {
    if (platform !== undefined && suspect) this.#platforms.suspect(platform, nowMs)
    this.#unbind(traveller)
    traveller.lastWhy = why
    this.#to(traveller, 'held')
  }

  #defected(
    traveller: Traveller,
    platform: Platform | undefined,
    terms: Terms | undefined,
    input: Extract<ProxyInput, { kind: 'defect' }>,
    nowMs: number,
  ): void {
    if (traveller.phase === 'streaming') {
      if (platform !== undefined) this.#platforms.suspect(platform, nowMs)
      this.#unbind(traveller)
      this.#to(traveller, 'defected')
      this.#effects.push({ kind: 'breakOff', id: traveller.id, why: input.why })
      return
    }
    if (input.verdict !== Verdict.notRun && traveller.phase === 'sent') traveller.mayHaveRun = true
    if (input.verdict === Verdict.notRun || terms?.repeatable === true) {
      this.#again(traveller, platform, input.why, nowMs)
      return
    }
    if (platform !== undefined) this.#platforms.suspect(platform, nowMs)
    this.#turnAway(traveller, 502, input.verdict, input.why, nowMs)
  }

  #tell(nowMs: number): void {
    this.#tallyAtMs = nowMs + this.#timings.renewMs / 2
    const held = new Map<string, { model: string; adapter: string; count: number; dueInMs: number }>()
    const flights = new Map<string, { server: string; model: string; adapter: string; count: number }>()
    for (const { target, phase, server, dueMs } of this.#travellers.values()) {
      if (target.kind !== 'model') continue
      const { name, adapter } = target
      if (phase === 'held' && this.#reader.terms.has(`model ${name}`)) {
        const key = `${name}/${adapter}`
        const old = held.get(key) ?? { model: name, adapter, count: 0, dueInMs: Infinity }
        held.set(key, { ...old, count: old.count + 1, dueInMs: Math.min(old.dueInMs, dueMs - nowMs) })
      } else if (server !== '') {
        const key = `${server} ${name}/${adapter}`
        const old = flights.get(key) ?? { server, model: name, adapter, count: 0 }
        flights.set(key, { ...old, count: old.count + 1 })
      }
    }
    const arrivals = [...this.#arrivals.values()].map(({ model, adapter, count, lastMs }) => ({
      model,
      adapter,
      count,
      agoMs: nowMs - lastMs,
    }))
    this.#arrivals.clear()
    this.#effects.push({
      kind: 'send',
      toAddress: this.#plan.agent,
      message: {
        kind: 'tally',
        seat: this.#plan.seat,
        session: this.#session,
        adopted: this.copy.stamp,
        atMs: nowMs,
        arrivals,
        held: [...held.values()],
        flights: [...flights.values()],
      },
    })
  }
}
