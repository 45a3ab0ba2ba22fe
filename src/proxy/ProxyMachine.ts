/**
 * The state machine of a proxy: binds waiting requests to servers, ends those past their deadline, and reports load to the agent.
 * New work starts only while the serving lease is valid. A request is sent again only when it certainly did not run or is
 * idempotent, and never once a byte of a response went to its caller.
 */
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import type { Terms } from '../common/Terms.js'
import { Verdict } from '../common/Verdict.js'
import { CharterReader } from '../consensus/CharterReader.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { Message } from '../transport/Message.js'
import { fairOrder } from './fairOrder.js'
import { LoadTally } from './LoadTally.js'
import { Outlooks } from './Outlooks.js'
import { Phase } from './Phase.js'
import type { Backend } from './Backend.js'
import { BackendTable } from './BackendTable.js'
import type { RequestState } from './RequestState.js'
import type { ProxyEffect } from './ProxyEffect.js'
import type { ProxyInput } from './ProxyInput.js'

interface Plan {
  name: string
  seat: string
  zone: string
  agent: string
}

export class ProxyMachine {
  readonly copy = new ReplicaTable()
  readonly #plan: Plan
  readonly #timings: Timings
  readonly #session: string
  readonly #requests = new Map<string, RequestState>()
  readonly #backends: BackendTable
  readonly #outlooks: Outlooks
  readonly #load = new LoadTally()
  #firsts = new Map<string, number>()
  #asked = ''
  readonly #reader = new CharterReader()
  #effects: ProxyEffect[] = []
  #permitUntilMs = -Infinity
  #followAtMs = -Infinity
  #tallyAtMs = -Infinity
  #follows = 0
  #turn = 0

  constructor(plan: Plan, timings: Timings, random: Random) {
    this.#plan = plan
    this.#timings = timings
    this.#outlooks = new Outlooks(timings.leaseMs)
    this.#backends = new BackendTable(plan.zone, timings, random)
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
    for (const request of this.#requests.values()) {
      const backend = this.#backends.get(request.server)
      if (request.phase === 'connecting' && nowMs - request.boundMs >= this.#timings.reportMs) {
        this.#effects.push({ kind: 'release', id: request.id, attempt: request.attempt })
        this.#again(request, backend, 'the server did not say who it is', nowMs)
      } else if (request.phase === 'sent' && nowMs - request.sentMs >= this.#timings.firstByteMs) this.#leaveSilent(request, backend, nowMs)
    }
  }

  /** Without a first byte a repeatable request goes elsewhere, once a further try is granted; another waits, for it may have run. */
  #leaveSilent(request: RequestState, backend: Backend | undefined, nowMs: number): void {
    const terms = this.#termsOf(request)
    if (backend !== undefined && nowMs >= backend.suspectUntilMs) this.#backends.suspect(backend, nowMs)
    request.impatient = terms?.repeatable === true
    if (terms === undefined || !request.impatient || nowMs >= request.grantedUntilMs) return
    if (this.#backends.choose(request.target, terms, nowMs) === undefined) return
    request.mayHaveRun = true
    this.#effects.push({ kind: 'release', id: request.id, attempt: request.attempt })
    this.#again(request, backend, 'the server gave no first byte', nowMs)
  }

  #message(message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'permit':
        if (message.sentMs <= nowMs) this.#permit(message)
        break
      case 'outlook':
        this.#outlooks.take(message.models, nowMs)
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
    this.#backends.barred = new Set(permit.barred)
    this.#backends.lent.take(permit.serial, permit.sentMs + permit.lentMs, permit.shares)
    const granted = new Set(permit.again)
    const untilMs = permit.sentMs + permit.lentMs - this.#timings.leaseMs + this.#timings.grantMs
    for (const request of this.#requests.values())
      if (request.sends > 0 && granted.has(this.#tryOf(request))) request.grantedUntilMs = Math.max(request.grantedUntilMs, untilMs)
  }

  /** The name under which a further try is granted: each is granted once, and one that was not used in time under a new name. */
  #tryOf(request: RequestState): string {
    return `${this.#session}.${request.id}.${String(request.sends)}.${String(request.lapses)}`
  }

  /** The further tries to ask for: those for which a server is trusted now or by the time that the answer is here. */
  #wanted(nowMs: number): RequestState[] {
    const byMs = nowMs + this.#timings.renewMs / 4
    const wanted: RequestState[] = []
    for (const request of this.#requests.values()) {
      if (request.sends === 0 || nowMs < request.grantedUntilMs || !(request.phase === 'held' || request.impatient)) continue
      if (request.grantedUntilMs !== -Infinity) {
        request.grantedUntilMs = -Infinity
        request.lapses += 1
      }
      const terms = this.#termsOf(request)
      const trustedAtMs = terms === undefined ? undefined : this.#backends.trustedAtMs(request.target, terms)
      if (trustedAtMs !== undefined && trustedAtMs <= byMs && request.notBeforeMs <= byMs) wanted.push(request)
    }
    return wanted
  }

  /** Tells the agent what this proxy wants of shared limits, at once when it wants more than it said. */
  #ask(nowMs: number, tell: boolean): void {
    const asks = this.#backends.asks(nowMs)
    const again = this.#wanted(nowMs).map((one) => ({ id: this.#tryOf(one), key: `${one.target.kind} ${one.target.name}` }))
    const asked = JSON.stringify([asks.map((one) => [one.key, one.want]), again])
    if (!tell && asked === this.#asked) return
    if (!tell && again.length === 0 && asks.every((one) => one.want <= one.held)) return
    this.#asked = asked
    const firsts = [...this.#firsts].map(([key, count]) => ({ key, count }))
    this.#firsts.clear()
    const message: Message = { kind: 'ask', asks, echo: this.#backends.lent.serial, again, firsts }
    this.#effects.push({ kind: 'send', toAddress: this.#plan.agent, message })
  }

  /** Brings the tables in line with the copy. */
  #adopted(nowMs: number): void {
    this.#followAtMs = nowMs
    this.#tallyAtMs = Math.min(this.#tallyAtMs, nowMs)
    this.#reader.follow(this.copy)
    this.#backends.adopt(this.copy, this.#reader.charter, this.#plan.seat, nowMs)
  }

  #arrived(input: Extract<ProxyInput, { kind: 'arrived' }>, nowMs: number): void {
    const { target } = input
    const terms = this.#reader.terms.get(`${target.kind} ${target.name}`)
    const request: RequestState = {
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
      grantedUntilMs: -Infinity,
      lapses: 0,
      impatient: false,
      notBeforeMs: 0,
      boundMs: 0,
      sentMs: 0,
      lastWhy: '',
    }
    this.#requests.set(input.id, request)
    this.#load.arrived(target, nowMs)
    this.#bind(request, nowMs)
  }

  #to(request: RequestState, phase: Phase): void {
    if (!Phase.allows(request.phase, phase)) throw new Error(`a request may not go from ${request.phase} to ${phase}`)
    request.phase = phase
    if (Phase.final(phase)) this.#requests.delete(request.id)
  }

  #unbind(request: RequestState): void {
    const backend = this.#backends.get(request.server)
    if (backend !== undefined) backend.flights -= 1
    request.server = ''
  }

  #turnAway(request: RequestState, status: number, verdict: Verdict, why: string, nowMs: number): void {
    if (request.server !== '') this.#unbind(request)
    this.#to(request, 'turnedAway')
    const told = request.mayHaveRun ? Verdict.mayHaveRun : verdict
    this.#effects.push({ kind: 'turnAway', id: request.id, status, verdict: told, retryAfterS: this.#comeBackS(request, nowMs), why })
  }

  /** When to come back: the load under way or in turn, the election, or the first server that is trusted again. */
  #comeBackS(request: RequestState, nowMs: number): number {
    const { target } = request
    let waitMs = this.#timings.reportMs
    const terms = this.#termsOf(request)
    if (!this.current(nowMs)) waitMs = this.#timings.electionMs + this.#timings.electionSpreadMs + this.#timings.leaseMs
    else if (terms !== undefined) {
      const trustedAtMs = this.#backends.trustedAtMs(target, terms)
      const outlook = this.#outlooks.of(target, nowMs)
      if (trustedAtMs !== undefined) waitMs = Math.max(waitMs, trustedAtMs - nowMs)
      else if (outlook !== undefined) waitMs = outlook.readyAtMs - nowMs
      else waitMs = this.#timings.reportStaleMs
    }
    return Math.max(1, Math.ceil(waitMs / 1000))
  }

  #termsOf(request: RequestState): Terms | undefined {
    return this.#reader.terms.get(`${request.target.kind} ${request.target.name}`)
  }

  /** Ends what is due, and at once what certainly cannot be served by its due. */
  #giveUp(nowMs: number): void {
    for (const request of this.#requests.values()) {
      if (request.phase === 'streaming') continue
      if (nowMs < request.dueMs) {
        if (request.phase !== 'held' || request.mayHaveRun || !this.current(nowMs)) continue
        const outlook = this.#outlooks.of(request.target, nowMs)
        if (outlook === undefined || outlook.neverBeforeMs <= request.dueMs) continue
        this.#turnAway(request, 503, Verdict.notRun, 'the weight store cannot give the model before the due', nowMs)
        continue
      }
      const ran = request.phase === 'sent' || request.mayHaveRun
      if (request.server !== '') this.#effects.push({ kind: 'release', id: request.id, attempt: request.attempt })
      const why = `due passed${request.lastWhy === '' ? '' : `; last: ${request.lastWhy}`}`
      this.#turnAway(request, ran ? 504 : 503, ran ? Verdict.mayHaveRun : Verdict.notRun, why, nowMs)
    }
  }

  /** Waiting requests in turn by partner, each partner's by due. */
  #bindAll(nowMs: number): void {
    this.#backends.recount()
    const waiting = [...this.#requests.values()].filter((one) => one.phase === 'held')
    if (waiting.length === 0) return
    this.#turn += 1
    for (const request of fairOrder(waiting, this.#turn)) this.#bind(request, nowMs)
  }

  #bind(request: RequestState, nowMs: number): void {
    const terms = this.#termsOf(request)
    const unknown =
      terms === undefined ||
      (request.target.kind === 'model' && request.target.adapter !== '' && !terms.adapters.includes(request.target.adapter))
    if (!this.current(nowMs)) {
      this.#hold(request)
      return
    }
    if (unknown) {
      this.#turnAway(
        request,
        404,
        Verdict.notRun,
        terms === undefined ? `no ${request.target.kind} is named ${request.target.name}` : 'no such adapter',
        nowMs,
      )
      return
    }
    if (request.partner === '') {
      request.partner = terms.partner
      if (!request.dueGiven) request.dueMs = request.arrivedMs + terms.limits.dueMs
    }
    if (request.bytes > terms.limits.bodyLimitBytes) {
      this.#turnAway(request, 413, Verdict.notRun, `the body is over ${String(terms.limits.bodyLimitBytes)} bytes`, nowMs)
      return
    }
    if (nowMs >= request.dueMs || nowMs < request.notBeforeMs || (request.sends > 0 && nowMs >= request.grantedUntilMs)) {
      this.#hold(request)
      return
    }
    const backend = this.#backends.choose(request.target, terms, nowMs)
    if (backend === undefined) {
      this.#hold(request)
      return
    }
    this.#to(request, 'bound')
    backend.flights += 1
    request.server = backend.name
    request.attempt += 1
    request.boundMs = nowMs
    this.#to(request, 'connecting')
    this.#effects.push({
      kind: 'attempt',
      id: request.id,
      attempt: request.attempt,
      server: backend.name,
      address: backend.address,
      fresh: !terms.repeatable,
    })
  }

  #hold(request: RequestState): void {
    if (request.phase !== 'held') this.#to(request, 'held')
  }

  #callerGone(id: string): void {
    const request = this.#requests.get(id)
    if (request === undefined) return
    if (request.server !== '') {
      this.#effects.push({ kind: 'release', id, attempt: request.attempt })
      this.#unbind(request)
    }
    this.#requests.delete(id)
  }

  #attempted(input: Exclude<ProxyInput, { kind: 'tick' | 'message' | 'arrived' | 'callerGone' }>, nowMs: number): void {
    const request = this.#requests.get(input.id)
    if (request === undefined || request.attempt !== input.attempt || request.server === '') return
    const backend = this.#backends.get(request.server)
    const terms = this.#termsOf(request)
    switch (input.kind) {
      case 'identified':
        this.#identified(request, backend, terms, input, nowMs)
        break
      case 'sent':
        break
      case 'head': {
        if (input.notRun && request.phase === 'sent') {
          this.#effects.push({ kind: 'release', id: input.id, attempt: input.attempt })
          this.#again(request, backend, 'the server turned it away', nowMs)
          break
        }
        this.#to(request, 'streaming')
        if (backend !== undefined) backend.defects = 0
        this.#effects.push({ kind: 'relay', id: input.id, attempt: input.attempt })
        break
      }
      case 'ended': {
        this.#unbind(request)
        this.#to(request, 'responded')
        break
      }
      case 'defect':
        this.#defected(request, backend, terms, input, nowMs)
        break
    }
  }

  #identified(
    request: RequestState,
    backend: Backend | undefined,
    terms: Terms | undefined,
    input: Extract<ProxyInput, { kind: 'identified' }>,
    nowMs: number,
  ): void {
    this.#to(request, 'identified')
    const release = (why: string) => {
      this.#effects.push({ kind: 'release', id: request.id, attempt: request.attempt })
      this.#again(request, backend, why, nowMs, false)
    }
    if (backend === undefined || terms === undefined || input.server !== request.server) {
      if (backend !== undefined) this.#backends.suspect(backend, nowMs)
      release('another server has its address')
      return
    }
    this.#backends.met(backend, input.incarnation, input.upMs, terms.limits.warmMs, nowMs)
    if (!this.current(nowMs) || !this.#backends.mayUse(backend, request.target, terms)) {
      release('no longer allowed there')
      return
    }
    if (request.target.kind === 'model' && backend.said !== input.incarnation) {
      release('the server has started anew and holds nothing until it says so')
      request.notBeforeMs = nowMs + this.#timings.heartbeatMs
      return
    }
    if (nowMs >= request.dueMs) return
    if (request.sends > 0 && nowMs >= request.grantedUntilMs) {
      release('the grant of a further try has run out')
      return
    }
    if (backend.flights > this.#backends.limit(backend, terms, nowMs)) {
      release('the server is still cold')
      return
    }
    const key = `${request.target.kind} ${request.target.name}`
    if (request.sends === 0) this.#firsts.set(key, (this.#firsts.get(key) ?? 0) + 1)
    request.grantedUntilMs = -Infinity
    request.impatient = false
    request.sentMs = nowMs
    request.sends += 1
    this.#to(request, 'sent')
    if (request.target.kind === 'model') this.#backends.remember(backend, request.target.chain, nowMs)
    this.#effects.push({ kind: 'go', id: request.id, attempt: request.attempt })
  }

  /** Back to waiting: it surely did not run, or may be repeated. */
  #again(request: RequestState, backend: Backend | undefined, why: string, nowMs: number, suspect = true): void {
    if (backend !== undefined && suspect) this.#backends.suspect(backend, nowMs)
    this.#unbind(request)
    request.lastWhy = why
    this.#to(request, 'held')
  }

  #defected(
    request: RequestState,
    backend: Backend | undefined,
    terms: Terms | undefined,
    input: Extract<ProxyInput, { kind: 'defect' }>,
    nowMs: number,
  ): void {
    if (request.phase === 'streaming') {
      if (backend !== undefined) this.#backends.suspect(backend, nowMs)
      this.#unbind(request)
      this.#to(request, 'defected')
      this.#effects.push({ kind: 'breakOff', id: request.id, why: input.why })
      return
    }
    if (input.verdict !== Verdict.notRun && request.phase === 'sent') request.mayHaveRun = true
    if (input.verdict === Verdict.notRun || terms?.repeatable === true) {
      this.#again(request, backend, input.why, nowMs)
      return
    }
    if (backend !== undefined) this.#backends.suspect(backend, nowMs)
    this.#turnAway(request, 502, input.verdict, input.why, nowMs)
  }

  #tell(nowMs: number): void {
    this.#tallyAtMs = nowMs + this.#timings.renewMs / 2
    const known = (model: string) => this.#reader.terms.has(`model ${model}`)
    this.#effects.push({
      kind: 'send',
      toAddress: this.#plan.agent,
      message: {
        kind: 'tally',
        seat: this.#plan.seat,
        session: this.#session,
        adopted: this.copy.stamp,
        atMs: nowMs,
        ...this.#load.take(this.#requests.values(), known, nowMs),
      },
    })
  }
}
