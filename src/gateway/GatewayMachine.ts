/**
 * A gateway as one pure machine: it takes requests on the routes of the network in force and brings each
 * to a server, within its attempts, its due and the budget for further tries. A request is sent again only
 * when it surely did not run or may be repeated, and never once a byte of an answer went to its caller,
 * but for a stream that may be resumed, which goes on after the last event passed on. A request waits only
 * for what is expected in time; one that is given up gets its final answer at once.
 */
import type { Random } from '../common/Random.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { Verdict } from '../common/Verdict.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'
import { AnswerTimes } from './AnswerTimes.js'
import { DelayAccount } from './DelayAccount.js'
import { DelayCounts } from './DelayCounts.js'
import type { GatewayEffect } from './GatewayEffect.js'
import type { GatewayInput } from './GatewayInput.js'
import { Passage } from './Passage.js'
import { RetryPolicy } from './RetryPolicy.js'
import { RouteTable } from './RouteTable.js'
import type { Server } from './Server.js'
import { ServerTable } from './ServerTable.js'
import { StopPolicy } from './StopPolicy.js'
import type { StopTimes } from './StopTimes.js'
import { TryBudget } from './TryBudget.js'

interface Plan {
  name: string
  zone: string
  retryRatio: number
  retryAllowance: number
  retryWindowMs: number
  suspectMs: number
  refillMs: number
  tallyMs: number
}
/** What the dispatcher expects of a model that requests wait for. */
interface Outlook {
  heardMs: number
  readyAtMs: number
  neverBeforeMs: number
  loading: boolean
}
type Attempted = Exclude<GatewayInput, { kind: 'tick' | 'adopted' | 'outlook' | 'arrived' | 'callerGone' | 'stop' | 'stopEnd' }>

const defaultDueMs = 30_000
const defaultUrgency = 5
/** Ratios of a request's aim or of the time that it has. */
const holdRatio = 0.45
const roomRatio = 0.2
/** A request waits for a load that is under way and likely ends by then. */
const loadedByRatio = 0.8
/** How many tallies long the dispatcher's word on a load counts. */
const freshOutlookTallies = 3
const connectRatio = 0.5
const silentRatio = 0.7
const gapRatio = 0.75
/** How long past its due an answer that has come in part may take to end, as a ratio of `suspectMs`. */
const overdueRatio = 1 / 16
/** Statuses that promise a caller that its request has not run and never will. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503])
const stopsEarlier = 'the gateway stops before this could be answered'

export class GatewayMachine {
  readonly copy: ReplicaTable
  readonly servers: ServerTable
  readonly routes = new RouteTable()
  readonly delays = new DelayCounts()
  readonly #plan: Plan
  readonly #mechanisms: Mechanisms
  readonly #session: string
  readonly #budget: TryBudget
  readonly #answerTimes = new AnswerTimes()
  readonly #passages = new Map<string, Passage>()
  readonly #held = new Set<Passage>()
  readonly #outlooks = new Map<string, Outlook>()
  #arrivals = new Map<string, { model: string; adapter: string; count: number; lastMs: number }>()
  #effects: GatewayEffect[] = []
  #tallyAtMs = 0
  #urgent = false
  #toldEmpty = false
  /** Set once this gateway was asked to stop. */
  #stopTimes: StopTimes | undefined

  /** False while this node's lease has run out, so that a newer network may be in force than the one it holds. */
  inTouch = true

  constructor(plan: Plan, copy: ReplicaTable, random: Random, mechanisms = Mechanisms.all) {
    this.#plan = plan
    this.copy = copy
    this.servers = new ServerTable(plan, random, mechanisms)
    this.#mechanisms = mechanisms
    this.#budget = new TryBudget(plan.retryRatio, plan.retryAllowance, plan.retryWindowMs)
    this.#session = random.below(4294967296).toString(36)
  }

  get open(): number {
    return this.#passages.size
  }

  get held(): number {
    return this.#held.size
  }

  step(input: GatewayInput, nowMs: number): GatewayEffect[] {
    switch (input.kind) {
      case 'tick':
        this.#tick(nowMs)
        break
      case 'adopted':
        this.routes.adopt(this.copy, input.rows)
        this.#answerTimes.keep((route) => this.routes.has(route))
        this.servers.adopt(this.copy, nowMs, input.rows)
        this.#bindAll(nowMs)
        break
      case 'outlook':
        for (const one of input.models)
          this.#outlooks.set(`${one.model}/${one.adapter}`, {
            heardMs: nowMs,
            readyAtMs: nowMs + one.readyInMs,
            neverBeforeMs: nowMs + one.neverBeforeMs,
            loading: one.loading === true,
          })
        this.#giveUp(nowMs)
        break
      case 'arrived':
        this.#arrived(input, nowMs)
        break
      case 'callerGone':
        this.#callerGone(input.id)
        break
      case 'stop':
        this.#stopTimes = input.times
        this.#bindAll(nowMs)
        break
      case 'stopEnd':
        this.#endUnanswered(nowMs)
        break
      default:
        this.#attempted(input, nowMs)
    }
    if (this.#urgent) this.#tell(nowMs)
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  get #members(): number {
    return Math.max(1, this.servers.members.length)
  }

  #tick(nowMs: number): void {
    for (const passage of this.#passages.values()) this.#watch(passage, nowMs)
    this.#bindAll(nowMs)
    this.#giveUp(nowMs)
    if (nowMs >= this.#tallyAtMs) this.#tell(nowMs)
  }

  #to(passage: Passage, phase: Passage['phase']): void {
    if (!Passage.allows(passage.phase, phase)) throw new Error(`a request may not go from ${passage.phase} to ${phase}`)
    passage.phase = phase
    if (phase === 'held') this.#held.add(passage)
    else this.#held.delete(passage)
    if (Passage.final(phase)) this.#passages.delete(passage.id)
  }

  #arrived(input: Extract<GatewayInput, { kind: 'arrived' }>, nowMs: number): void {
    const { id, host, path, arrival } = input
    const passage: Passage = {
      id,
      host,
      path,
      arrival,
      arrivedMs: nowMs,
      dueMs: nowMs + (arrival.dueInMs ?? defaultDueMs),
      phase: 'arrived',
      route: undefined,
      service: '',
      model: '',
      adapter: '',
      attempt: 0,
      server: '',
      sends: 0,
      tried: new Set(),
      refused: false,
      avoid: new Set(),
      mayHaveRun: false,
      heldMs: nowMs,
      boundMs: 0,
      sentMs: 0,
      movedMs: nowMs,
      begun: false,
      blocked: false,
      resumePoint: false,
      lastEvent: arrival.resumeAfter,
      lastWhy: '',
      delays: new DelayAccount('no_place', nowMs),
    }
    this.#passages.set(id, passage)
    if (!this.#find(passage)) return
    this.#budget.earn(passage.service, this.#members, nowMs)
    this.#count(passage, nowMs)
    this.#bind(passage, nowMs)
  }

  /**
   * Finds the route and the service by the network in force now. A request without a route gets its 404, unless this node
   * is out of touch with the core: then a newer network may have one, and the caller is to come back.
   */
  #find(passage: Passage): boolean {
    const route = this.routes.find(passage.host, passage.path)
    if (route === undefined) {
      if (this.inTouch || passage.mayHaveRun) this.#turnAway(passage, 404, undefined, 'no route leads there')
      else this.#turnAway(passage, 503, this.#plan.suspectMs / 4, 'no route leads there, as far as is known out of touch with the core')
      return false
    }
    passage.route = route
    passage.service = RouteTable.service(route, passage.arrival.id)
    passage.dueMs = Math.min(passage.dueMs, passage.arrivedMs + route.timeoutMs)
    const models = this.servers.service(passage.service)?.batch !== undefined && passage.arrival.model !== ''
    passage.model = models ? `${passage.service}:${passage.arrival.model}` : ''
    passage.adapter = models ? passage.arrival.adapter : ''
    return true
  }

  #count(passage: Passage, nowMs: number): void {
    if (passage.model === '') return
    const key = `${passage.model}/${passage.adapter}`
    const seen = this.#arrivals.get(key)
    if (seen === undefined) this.#arrivals.set(key, { model: passage.model, adapter: passage.adapter, count: 1, lastMs: nowMs })
    else {
      seen.count += 1
      seen.lastMs = nowMs
    }
  }

  #aimMs(passage: Passage): number {
    return passage.route?.aimMs ?? 0.25 * (passage.dueMs - passage.arrivedMs)
  }

  #bindAll(nowMs: number): void {
    if (this.#held.size === 0) return
    const ranked = this.#mechanisms.has('urgency-order')
    const waiting = [...this.#held].sort(
      (a, b) =>
        (ranked ? (a.route?.urgency ?? defaultUrgency) - (b.route?.urgency ?? defaultUrgency) : 0) ||
        a.arrivedMs + this.#aimMs(a) - (b.arrivedMs + this.#aimMs(b)),
    )
    for (const passage of waiting) {
      if (passage.phase !== 'held' || (!passage.begun && !this.#find(passage))) continue
      this.#bind(passage, nowMs)
    }
  }

  #bind(passage: Passage, nowMs: number): void {
    if (!RetryPolicy.maySend(passage)) {
      this.#end(passage, nowMs)
      return
    }
    if (!this.#fitsStop(passage, nowMs)) {
      passage.lastWhy = stopsEarlier
      this.#end(passage, nowMs, 0)
      return
    }
    const server = nowMs < passage.dueMs ? this.servers.choose(passage, nowMs) : undefined
    if (server === undefined) {
      passage.delays.enter(this.servers.hindrance(passage, nowMs), nowMs)
      if (passage.phase !== 'held') {
        this.#to(passage, 'held')
        passage.heldMs = nowMs
        if (passage.model !== '' && this.servers.holders(passage).length === 0) this.#urgent = true
        this.#giveUpOne(passage, nowMs)
      }
      return
    }
    if (passage.sends > 0 && !this.#budget.take(passage.service, this.#members, nowMs)) {
      passage.lastWhy = `${passage.lastWhy}; no further try is left in the budget`
      this.#end(passage, nowMs)
      return
    }
    this.#send(passage, server, nowMs)
  }

  #send(passage: Passage, server: Server, nowMs: number): void {
    this.#to(passage, 'connecting')
    passage.delays.enter('connecting', nowMs)
    server.flights += 1
    passage.server = server.name
    passage.blocked = false
    passage.attempt += 1
    passage.boundMs = nowMs
    const { route } = passage
    this.#effects.push({
      kind: 'attempt',
      id: passage.id,
      attempt: passage.attempt,
      server: server.name,
      address: server.address,
      leftMs: passage.dueMs - nowMs,
      urgency: route?.urgency ?? defaultUrgency,
      resumeAfter: route?.resumable === true ? passage.lastEvent : undefined,
      model: passage.model !== '',
      connections: this.servers.connections(server),
    })
  }

  #unbind(passage: Passage): Server | undefined {
    const server = this.servers.get(passage.server)
    if (server !== undefined) server.flights -= 1
    passage.server = ''
    return server
  }

  #release(passage: Passage): void {
    if (passage.server === '') return
    this.#effects.push({ kind: 'release', id: passage.id, attempt: passage.attempt })
    this.#unbind(passage)
  }

  /** The caller gets the first byte of its answer now. */
  #countFirstByte(passage: Passage, nowMs: number): void {
    const beyondAimMs = nowMs - passage.arrivedMs - this.#aimMs(passage)
    this.delays.add(
      beyondAimMs > 0 ? 'late' : 'in_time',
      passage.delays.longest(nowMs),
      passage.route?.urgency ?? defaultUrgency,
      beyondAimMs,
    )
  }

  /** False for a request that has not run and could be cut by the end of the stop under way: another gateway can still serve it. */
  #fitsStop(passage: Passage, nowMs: number): boolean {
    if (this.#stopTimes === undefined || passage.begun || passage.mayHaveRun) return true
    const { arrivedMs, dueMs, route } = passage
    const usualMs = route === undefined ? undefined : this.#answerTimes.usualMs(route.name)
    return StopPolicy.admits(this.#stopTimes, { arrivedMs, dueMs, usualMs }, nowMs)
  }

  /** Gives their final answer to all requests of whose answer nothing has gone out. */
  #endUnanswered(nowMs: number): void {
    for (const passage of [...this.#passages.values()]) {
      if (passage.begun) continue
      passage.mayHaveRun ||= passage.phase === 'sent' || passage.phase === 'streaming'
      passage.lastWhy = stopsEarlier
      this.#end(passage, nowMs, 0)
    }
  }

  /**
   * The final answer, as far as one can be given: a stream that began can only be broken off. A caller whose request did not run
   * may come back after `comeBackMs`.
   */
  #end(passage: Passage, nowMs: number, comeBackMs = this.#comeBackMs(passage, nowMs)): void {
    this.#release(passage)
    if (!passage.begun)
      this.delays.add(
        'refused',
        passage.delays.longest(nowMs),
        passage.route?.urgency ?? defaultUrgency,
        nowMs - passage.arrivedMs - this.#aimMs(passage),
      )
    if (passage.begun) {
      this.#to(passage, 'defected')
      this.#effects.push({ kind: 'breakOff', id: passage.id, why: passage.lastWhy })
      return
    }
    const why = passage.lastWhy === '' ? 'no server can take it in time' : passage.lastWhy
    if (passage.mayHaveRun) this.#turnAway(passage, nowMs >= passage.dueMs ? 504 : 502, undefined, why)
    else this.#turnAway(passage, 503, comeBackMs, why)
  }

  #turnAway(passage: Passage, status: number, comeBackMs: number | undefined, why: string): void {
    this.#to(passage, 'turnedAway')
    this.#effects.push({ kind: 'turnAway', id: passage.id, status, comeBackMs, why })
  }

  #outlook(passage: Passage, nowMs: number): Outlook | undefined {
    const outlook = this.#outlooks.get(`${passage.model}/${passage.adapter}`)
    return outlook !== undefined && nowMs - outlook.heardMs < 2 * this.#plan.suspectMs ? outlook : undefined
  }

  /** When to come back: the load under way, or a moment in which places come free. */
  #comeBackMs(passage: Passage, nowMs: number): number {
    const outlook = passage.model === '' ? undefined : this.#outlook(passage, nowMs)
    if (outlook !== undefined && outlook.readyAtMs > nowMs) return outlook.readyAtMs - nowMs
    return Math.min(0.25 * this.#aimMs(passage), 0.1 * Math.max(0, passage.dueMs - nowMs))
  }

  #giveUp(nowMs: number): void {
    for (const passage of [...this.#held]) this.#giveUpOne(passage, nowMs)
  }

  /** Ends a held request that is due, or for which nothing is expected in time. */
  #giveUpOne(passage: Passage, nowMs: number): void {
    if (passage.phase !== 'held') return
    const hadMs = passage.dueMs - passage.arrivedMs
    const waitedMs = nowMs - passage.heldMs
    const late = nowMs >= passage.arrivedMs + 0.9 * this.#staysMs(passage)
    const holders = passage.model === '' ? this.servers.openServers(passage.service) : this.servers.holders(passage).length
    const outlook = passage.model === '' || holders > 0 ? undefined : this.#outlook(passage, nowMs)
    let patienceMs = roomRatio * this.#aimMs(passage)
    if (passage.begun) patienceMs = holdRatio * hadMs
    else if (holders === 0 && passage.model !== '') {
      patienceMs = holdRatio * hadMs
      if (outlook !== undefined && this.#comesTooLate(outlook, passage)) patienceMs = 0
      else if (outlook !== undefined && this.#loadsInTime(outlook, passage, nowMs)) patienceMs = Infinity
    }
    if (late || waitedMs >= patienceMs || nowMs >= (this.#stopTimes?.holdUntilMs ?? Infinity)) {
      if (passage.lastWhy === '') passage.lastWhy = holders === 0 ? 'no server holds what it needs' : 'no place is free'
      this.#end(passage, nowMs)
    }
  }

  /** How long after its arrival the caller stays, while nothing of an answer has come. */
  #staysMs(passage: Passage): number {
    const dueInMs = passage.dueMs - passage.arrivedMs
    return passage.begun ? dueInMs : Math.min(dueInMs, passage.route?.silenceMs ?? Infinity)
  }

  /** True if there surely is no copy before the caller leaves. */
  #comesTooLate(outlook: Outlook, passage: Passage): boolean {
    return outlook.neverBeforeMs > passage.arrivedMs + this.#staysMs(passage)
  }

  /** True while a server loads the model, by a fresh word of the dispatcher, and is likely done well before the request is due. */
  #loadsInTime(outlook: Outlook, passage: Passage, nowMs: number): boolean {
    if (!this.#mechanisms.has('hold-for-load')) return false
    const isFresh = nowMs - outlook.heardMs < freshOutlookTallies * this.#plan.tallyMs
    const byMs = passage.arrivedMs + loadedByRatio * this.#staysMs(passage)
    return outlook.loading && isFresh && outlook.readyAtMs < byMs
  }

  /** Attempts that are silent for too long: connecting, before the first byte, in the midst of a stream. */
  #watch(passage: Passage, nowMs: number): void {
    const { phase } = passage
    if (phase === 'held' || phase === 'arrived') return
    if (nowMs >= passage.dueMs + (phase === 'streaming' ? this.#plan.suspectMs * overdueRatio : 0)) {
      passage.mayHaveRun ||= phase !== 'connecting'
      passage.lastWhy = 'due passed'
      this.#end(passage, nowMs)
      return
    }
    if (phase === 'connecting') {
      if (nowMs - passage.boundMs >= Math.min(connectRatio * this.#aimMs(passage), this.#plan.suspectMs / 4))
        this.#failed(passage, Verdict.notRun, 'the server took no connection', nowMs)
      return
    }
    this.#leaveSilent(passage, nowMs)
  }

  /**
   * A repeatable request leaves a server that gave nothing to anyone here for too long, but only once another
   * will take it: silence alone ends no answer.
   */
  #leaveSilent(passage: Passage, nowMs: number): void {
    const server = this.servers.get(passage.server)
    if (!this.#mechanisms.has('leave-silent')) return
    if (server === undefined || passage.blocked || !RetryPolicy.repeatable(passage) || !RetryPolicy.maySend(passage)) return
    const gapMs = passage.route?.gapMs
    const most =
      passage.phase === 'sent' ? Math.max(silentRatio * this.#aimMs(passage), 100) : gapMs === undefined ? Infinity : gapRatio * gapMs
    if (nowMs - Math.max(passage.movedMs, server.heardMs) < most) return
    passage.avoid.add(server.name)
    const other = this.servers.choose(passage, nowMs)
    if (other === undefined || !this.#budget.take(passage.service, this.#members, nowMs)) {
      if (nowMs >= server.suspectUntilMs) this.servers.suspect(server, nowMs)
      return
    }
    this.#release(passage)
    passage.delays.failed(nowMs)
    this.servers.suspect(server, nowMs)
    passage.mayHaveRun = true
    passage.lastWhy = 'the server fell silent'
    this.#to(passage, 'held')
    this.#send(passage, other, nowMs)
  }

  #elsewhere(passage: Passage, nowMs: number): boolean {
    return this.servers
      .holders(passage)
      .some((one) => one.name !== passage.server && nowMs >= one.suspectUntilMs && !passage.avoid.has(one.name))
  }

  #callerGone(id: string): void {
    const passage = this.#passages.get(id)
    if (passage === undefined) return
    this.#release(passage)
    this.#held.delete(passage)
    this.#passages.delete(id)
  }

  #attempted(input: Attempted, nowMs: number): void {
    const passage = this.#passages.get(input.id)
    if (passage === undefined || passage.attempt !== input.attempt || passage.server === '') return
    const server = this.servers.get(passage.server)
    if (server !== undefined && (input.kind === 'head' || input.kind === 'event')) server.heardMs = nowMs
    switch (input.kind) {
      case 'sent':
        if (passage.phase !== 'connecting') break
        this.#to(passage, 'sent')
        passage.delays.enter(server === undefined ? 'server_time' : this.servers.delayAt(server, passage, nowMs), nowMs)
        passage.sends += 1
        passage.tried.add(passage.server)
        passage.refused = false
        passage.sentMs = nowMs
        passage.movedMs = nowMs
        if (server === undefined) break
        this.servers.remember(server, passage, nowMs)
        if (server.flights === 1) server.heardMs = nowMs
        break
      case 'head':
        this.#head(passage, server, input, nowMs)
        break
      case 'event':
        passage.movedMs = nowMs
        if (!passage.begun) this.#countFirstByte(passage, nowMs)
        passage.begun = true
        if (input.event !== undefined) passage.lastEvent = input.event
        if (input.data) passage.resumePoint = input.event !== undefined
        break
      case 'flow':
        passage.blocked = input.blocked
        passage.movedMs = nowMs
        break
      case 'ended':
        this.#unbind(passage)
        if (!passage.begun) this.#countFirstByte(passage, nowMs)
        if (passage.route !== undefined) this.#answerTimes.add(passage.route.name, nowMs - passage.boundMs)
        this.#to(passage, 'responded')
        break
      case 'defect':
        this.#failed(passage, passage.phase === 'connecting' ? input.verdict : Verdict.mayHaveRun, input.why, nowMs)
        break
    }
  }

  #head(passage: Passage, server: Server | undefined, input: Extract<Attempted, { kind: 'head' }>, nowMs: number): void {
    if (passage.phase !== 'sent') return
    if (input.notRun) {
      this.#failed(passage, Verdict.notRun, `the server turned it away with ${String(input.status)}`, nowMs)
      return
    }
    if (promises.has(input.status)) {
      this.#failed(passage, Verdict.mayHaveRun, `the server answered ${String(input.status)} and did not say that it had not run it`, nowMs)
      return
    }
    if (input.status >= 500 && !passage.begun && RetryPolicy.repeatable(passage) && this.#mayGoOn(passage, nowMs)) {
      this.#failed(passage, Verdict.mayHaveRun, `the server answered ${String(input.status)}`, nowMs)
      return
    }
    this.#to(passage, 'streaming')
    passage.movedMs = nowMs
    if (server !== undefined) this.servers.trust(server, nowMs - passage.sentMs)
    this.#effects.push({ kind: 'relay', id: passage.id, attempt: passage.attempt })
  }

  #mayGoOn(passage: Passage, nowMs: number): boolean {
    return !RetryPolicy.exhausted(passage) && this.#elsewhere(passage, nowMs)
  }

  /** An attempt ended without an answer: back to waiting where that is allowed, else the final answer. */
  #failed(passage: Passage, verdict: Verdict, why: string, nowMs: number): void {
    const server = this.servers.get(passage.server)
    this.#release(passage)
    passage.delays.failed(nowMs)
    passage.lastWhy = why
    if (server !== undefined) {
      this.servers.suspect(server, nowMs)
      passage.avoid.add(server.name)
    }
    passage.refused = verdict === Verdict.notRun
    if (!passage.refused) passage.mayHaveRun = true
    if (!RetryPolicy.maySend(passage) || !this.#mechanisms.has('further-tries')) {
      this.#end(passage, nowMs)
      return
    }
    this.#to(passage, 'held')
    passage.heldMs = nowMs
    if (RetryPolicy.mayOnlyReturn(passage) || this.servers.holders(passage).every((one) => passage.avoid.has(one.name)))
      passage.avoid.clear()
    this.#bind(passage, nowMs)
    this.#giveUpOne(passage, nowMs)
  }

  /** Tells whoever places the models what arrived, what waits for a holder and what is under way. */
  #tell(nowMs: number): void {
    this.#urgent = false
    this.#tallyAtMs = nowMs + this.#plan.tallyMs
    const held = new Map<string, { model: string; adapter: string; count: number; dueInMs: number }>()
    for (const server of this.servers.all) server.toldFlights = server.flights
    const flights = new Map<string, { server: string; model: string; adapter: string; count: number }>()
    for (const passage of this.#passages.values()) {
      const { model, adapter, server, dueMs } = passage
      if (model === '') continue
      if (passage.phase === 'held') {
        const key = `${model}/${adapter}`
        const old = held.get(key)
        held.set(key, { model, adapter, count: (old?.count ?? 0) + 1, dueInMs: Math.min(old?.dueInMs ?? Infinity, dueMs - nowMs) })
      } else if (server !== '') {
        const key = `${server} ${model}`
        const old = flights.get(key)
        flights.set(key, { server, model, adapter: '', count: (old?.count ?? 0) + 1 })
      }
    }
    const arrivals = [...this.#arrivals.values()].map(({ lastMs, ...one }) => ({ ...one, agoMs: nowMs - lastMs }))
    this.#arrivals = new Map()
    const empty = arrivals.length === 0 && held.size === 0 && flights.size === 0
    if (empty && this.#toldEmpty) return
    this.#toldEmpty = empty
    this.#effects.push({
      kind: 'tell',
      message: {
        kind: 'tally',
        seat: this.#plan.name,
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
