/**
 * A turnout as one pure machine. Requests and servers are entities in tables; the systems bind
 * waiting requests to servers, give up those that are due, and tell the lineman what is seen. New
 * work starts only while the charter is current. A request is sent again only when it surely did not
 * run, or may be repeated, and never once a byte of a response went to its caller.
 */
import { Charter } from '../gauge/Charter.js'
import type { Chance } from '../gauge/Chance.js'
import { digest } from '../gauge/digest.js'
import type { Pace } from '../gauge/Pace.js'
import { Verdict } from '../gauge/Verdict.js'
import { BindingRow } from '../interlocking/BindingRow.js'
import { Copy } from '../interlocking/Copy.js'
import { PlatformServer } from '../gauge/PlatformServer.js'
import type { Message } from '../telegraph/Message.js'
import { Budget } from './Budget.js'
import { Phase } from './Phase.js'
import type { Platform } from './Platform.js'
import type { Traveller } from './Traveller.js'
import type { TurnoutEffect } from './TurnoutEffect.js'
import type { TurnoutInput } from './TurnoutInput.js'

interface Plan {
  name: string
  seat: string
  zone: string
  lineman: string
}
interface Terms {
  partner: string
  limits: ReturnType<typeof Charter.limits>
  repeatable: boolean
  servers: readonly string[] | undefined
  adapters: readonly string[]
}
const keptChains = 4096

export class TurnoutMachine {
  readonly copy = new Copy()
  readonly #plan: Plan
  readonly #pace: Pace
  readonly #chance: Chance
  readonly #session: string
  readonly #travellers = new Map<string, Traveller>()
  readonly #platforms = new Map<string, Platform>()
  readonly #budgets = new Map<string, Budget>()
  #terms = new Map<string, Terms>()
  readonly #places = new Map<string, { at: number; of: number }>()
  #effects: TurnoutEffect[] = []
  #permitUntilMs = -Infinity
  #followAtMs = -Infinity
  #tallyAtMs = -Infinity
  #follows = 0
  #arrivals = new Map<string, { model: string; adapter: string; count: number; lastMs: number }>()
  #turn = 0

  constructor(plan: Plan, pace: Pace, chance: Chance) {
    this.#plan = plan
    this.#pace = pace
    this.#chance = chance
    this.#session = chance.below(4294967296).toString(36)
  }

  current(nowMs: number): boolean {
    return nowMs < this.#permitUntilMs && this.copy.get('charter') !== undefined
  }

  get travellers(): number {
    return this.#travellers.size
  }

  step(input: TurnoutInput, nowMs: number): TurnoutEffect[] {
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
      this.#followAtMs = nowMs + this.#pace.renewMs / 2
      this.#follows += 1
      this.#effects.push({
        kind: 'send',
        toAddress: this.#plan.lineman,
        message: {
          kind: 'follow',
          seat: this.#plan.seat,
          stamp: this.copy.stamp,
          sentMs: nowMs,
          digests: this.#follows % 8 === 0 ? this.copy.digests : [],
        },
      })
    }
    if (nowMs >= this.#tallyAtMs) this.#tell(nowMs)
    this.#giveUp(nowMs)
    this.#leaveDark(nowMs)
    this.#bindAll(nowMs)
  }

  /** An attempt that a server leaves without an identity for too long surely did not run; it goes elsewhere. */
  #leaveDark(nowMs: number): void {
    for (const traveller of this.#travellers.values()) {
      if (traveller.phase !== 'connecting' || nowMs - traveller.boundMs < this.#pace.reportMs) continue
      this.#effects.push({ kind: 'release', id: traveller.id, attempt: traveller.attempt })
      this.#again(traveller, this.#platforms.get(traveller.server), 'the server did not say who it is', nowMs)
    }
  }

  #message(message: Message, nowMs: number): void {
    switch (message.kind) {
      case 'permit':
        this.#permitUntilMs = Math.max(this.#permitUntilMs, message.sentMs + message.forMs)
        break
      case 'news':
        if (this.copy.adopt(message.since, message.stamp, message.rows).length > 0) this.#adopted(nowMs)
        break
      case 'mend':
        if (message.stamp === this.copy.stamp && this.copy.mend(message.range, message.rows).length > 0) this.#adopted(nowMs)
        break
      default:
        return
    }
    if (message.kind === 'permit') return
    this.#bindAll(nowMs)
  }

  /** Brings the tables in line with the copy. */
  #adopted(nowMs: number): void {
    this.#followAtMs = nowMs
    this.#tallyAtMs = Math.min(this.#tallyAtMs, nowMs)
    const text = this.copy.get('charter')
    const charter = text === undefined ? undefined : (Charter.check(JSON.parse(text)).toMaybe().extractNullable() ?? undefined)
    this.#terms = new Map()
    this.#places.clear()
    for (const [partner, branch] of Object.entries(charter?.partners ?? {})) {
      if (charter === undefined) break
      for (const [name, service] of Object.entries(branch.services))
        this.#terms.set(`service ${name}`, {
          partner,
          limits: Charter.limits(charter, partner, service.limits),
          repeatable: service.repeatable,
          servers: service.servers,
          adapters: [],
        })
      for (const [name, model] of Object.entries(branch.models))
        this.#terms.set(`model ${name}`, {
          partner,
          limits: Charter.limits(charter, partner, model.limits),
          repeatable: model.repeatable,
          servers: model.servers,
          adapters: model.adapters,
        })
    }
    const listed = new Set<string>()
    for (const [name, value] of this.copy.under('server/')) {
      const server = PlatformServer.parse(JSON.parse(value))
      listed.add(name)
      let platform = this.#platforms.get(name)
      if (platform === undefined) {
        platform = {
          name,
          address: server.address,
          zone: server.zone,
          open: false,
          models: new Set(),
          adapters: new Set(),
          flights: 0,
          incarnation: '',
          coldUntilMs: Infinity,
          suspectUntilMs: 0,
          defects: 0,
          kept: new Map(),
        }
        this.#platforms.set(name, platform)
      }
      if (platform.address !== server.address) {
        platform.address = server.address
        platform.suspectUntilMs = 0
        platform.defects = 0
      }
      platform.zone = server.zone
      platform.open = !server.draining && charter?.zones[server.zone]?.emptied !== true && charter?.fleet.servers[name] !== undefined
      const binding = this.copy.get(`binding/${name}`)
      const row = binding === undefined ? undefined : BindingRow.parse(JSON.parse(binding))
      platform.models = new Set(row?.models)
      platform.adapters = new Set(row?.adapters)
      if (row !== undefined && platform.incarnation !== '' && row.incarnation !== platform.incarnation) {
        platform.incarnation = ''
        platform.coldUntilMs = Infinity
        platform.kept.clear()
      }
    }
    for (const [name, platform] of this.#platforms) {
      if (listed.has(name)) continue
      platform.open = false
      if (platform.flights === 0) this.#platforms.delete(name)
    }
  }

  /** How many turnouts share what is shared out, and which of them this one is. */
  #share(limit: number, server: string): number {
    let place = this.#places.get(server)
    if (place === undefined) {
      const seats = this.copy
        .under('seat/')
        .map(([name]) => name)
        .sort((a, b) => digest(a + server) - digest(b + server))
      place = { at: seats.indexOf(this.#plan.seat), of: seats.length }
      this.#places.set(server, place)
    }
    if (place.at < 0) return 0
    return Math.floor(limit / place.of) + (place.at < limit % place.of ? 1 : 0)
  }

  /** This turnout's share of what a server bears. One never met counts as cold, and is met by one attempt. */
  #limit(platform: Platform, terms: Terms, nowMs: number): number {
    const { coldLimit, serverLimit } = terms.limits
    return this.#share(nowMs < platform.coldUntilMs ? Math.min(coldLimit, serverLimit) : serverLimit, platform.name)
  }

  #allowance(terms: Terms, key: string): number {
    return this.#share(terms.limits.retryAllowance, key)
  }

  #arrived(input: Extract<TurnoutInput, { kind: 'arrived' }>, nowMs: number): void {
    const { target } = input
    const terms = this.#terms.get(`${target.kind} ${target.name}`)
    const traveller: Traveller = {
      id: input.id,
      target,
      partner: terms?.partner ?? '',
      bytes: input.bytes,
      arrivedMs: nowMs,
      dueMs: nowMs + (input.dueInMs ?? terms?.limits.dueMs ?? this.#pace.operateMs),
      dueGiven: input.dueInMs !== undefined,
      phase: 'arrived',
      attempt: 0,
      server: '',
      cold: false,
      sends: 0,
      mayHaveRun: false,
      notBeforeMs: 0,
      boundMs: 0,
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

  #turnAway(traveller: Traveller, status: number, verdict: Verdict, why: string): void {
    if (traveller.server !== '') this.#unbind(traveller)
    this.#to(traveller, 'turnedAway')
    const told = traveller.mayHaveRun ? Verdict.mayHaveRun : verdict
    const retryAfterS = Math.max(
      1,
      Math.ceil((this.#terms.get(`${traveller.target.kind} ${traveller.target.name}`)?.limits.dueMs ?? 1000) / 4000),
    )
    this.#effects.push({ kind: 'turnAway', id: traveller.id, status, verdict: told, retryAfterS, why })
  }

  #giveUp(nowMs: number): void {
    for (const traveller of this.#travellers.values()) {
      if (nowMs < traveller.dueMs || traveller.phase === 'streaming') continue
      const ran = traveller.phase === 'sent' || traveller.mayHaveRun
      if (traveller.server !== '') this.#effects.push({ kind: 'release', id: traveller.id, attempt: traveller.attempt })
      this.#turnAway(
        traveller,
        ran ? 504 : 503,
        ran ? Verdict.mayHaveRun : Verdict.notRun,
        `due passed${traveller.lastWhy === '' ? '' : `; last: ${traveller.lastWhy}`}`,
      )
    }
  }

  /** Waiting requests in turn by partner, each partner's by due. */
  #bindAll(nowMs: number): void {
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
    const terms = this.#terms.get(`${traveller.target.kind} ${traveller.target.name}`)
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
      )
      return
    }
    if (traveller.partner === '') {
      traveller.partner = terms.partner
      if (!traveller.dueGiven) traveller.dueMs = traveller.arrivedMs + terms.limits.dueMs
    }
    if (traveller.bytes > terms.limits.bodyLimitBytes) {
      this.#turnAway(traveller, 413, Verdict.notRun, `the body is over ${String(terms.limits.bodyLimitBytes)} bytes`)
      return
    }
    if (nowMs >= traveller.dueMs || nowMs < traveller.notBeforeMs) {
      this.#hold(traveller)
      return
    }
    const platform = this.#choose(traveller, terms, nowMs)
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

  #mayUse(platform: Platform, traveller: Traveller, terms: Terms): boolean {
    const { target } = traveller
    if (!platform.open || terms.servers?.includes(platform.name) === false) return false
    if (target.kind === 'service') return true
    return platform.models.has(target.name) && (target.adapter === '' || platform.adapters.has(`${target.name}/${target.adapter}`))
  }

  #choose(traveller: Traveller, terms: Terms, nowMs: number): Platform | undefined {
    let best: Platform[] = []
    let bestRank = -Infinity
    for (const platform of this.#platforms.values()) {
      if (!this.#mayUse(platform, traveller, terms) || nowMs < platform.suspectUntilMs) continue
      const limit = this.#limit(platform, terms, nowMs)
      const unmet = platform.incarnation === '' && platform.flights === 0
      if (platform.flights >= limit && !unmet) continue
      const kept = traveller.target.kind === 'model' ? this.#kept(platform, traveller.target.chain) : 0
      const rank = 4 * kept - (4 * platform.flights) / Math.max(1, limit) + (platform.zone === this.#plan.zone ? 0.5 : 0)
      if (rank > bestRank + 1e-9) {
        best = [platform]
        bestRank = rank
      } else if (Math.abs(rank - bestRank) <= 1e-9) best.push(platform)
    }
    const one = this.#chance.pick(best)
    const other = this.#chance.pick(best)
    return one !== undefined && other !== undefined && other.flights < one.flights ? other : one
  }

  /** The share of the chain that was sent to this server lately enough to be kept there. */
  #kept(platform: Platform, chain: readonly string[]): number {
    for (let at = chain.length; at > 0; at--) {
      const link = chain[at - 1]
      if (link !== undefined && platform.kept.has(link)) return at / chain.length
    }
    return 0
  }

  #remember(platform: Platform, chain: readonly string[], nowMs: number): void {
    for (const link of chain) {
      platform.kept.delete(link)
      platform.kept.set(link, nowMs)
    }
    for (const oldest of platform.kept.keys()) {
      if (platform.kept.size <= keptChains) break
      platform.kept.delete(oldest)
    }
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

  #attempted(input: Exclude<TurnoutInput, { kind: 'tick' | 'message' | 'arrived' | 'callerGone' }>, nowMs: number): void {
    const traveller = this.#travellers.get(input.id)
    if (traveller === undefined || traveller.attempt !== input.attempt || traveller.server === '') return
    const platform = this.#platforms.get(traveller.server)
    const terms = this.#terms.get(`${traveller.target.kind} ${traveller.target.name}`)
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
    input: Extract<TurnoutInput, { kind: 'identified' }>,
    nowMs: number,
  ): void {
    this.#to(traveller, 'identified')
    const release = (why: string) => {
      this.#effects.push({ kind: 'release', id: traveller.id, attempt: traveller.attempt })
      this.#again(traveller, platform, why, nowMs, false)
    }
    if (platform === undefined || terms === undefined || input.server !== traveller.server) {
      if (platform !== undefined) this.#suspect(platform, nowMs)
      release('another server has its address')
      return
    }
    if (platform.incarnation !== input.incarnation) {
      platform.incarnation = input.incarnation
      platform.kept.clear()
      platform.coldUntilMs = nowMs + Math.max(0, terms.limits.warmMs - input.upMs)
    } else if (platform.coldUntilMs === Infinity) platform.coldUntilMs = nowMs + Math.max(0, terms.limits.warmMs - input.upMs)
    if (!this.current(nowMs) || !this.#mayUse(platform, traveller, terms)) {
      release('no longer allowed there')
      return
    }
    if (nowMs >= traveller.dueMs) return
    if (platform.flights > this.#limit(platform, terms, nowMs)) {
      release('the server is still cold')
      return
    }
    const key = `${traveller.target.kind} ${traveller.target.name}`
    const budget = this.#budgets.get(key) ?? new Budget()
    this.#budgets.set(key, budget)
    if (traveller.sends === 0) budget.first(terms.limits.retryRatio, this.#allowance(terms, key))
    else if (!budget.again(this.#allowance(terms, key))) {
      release('no further try is left in the budget')
      traveller.notBeforeMs = nowMs + this.#pace.heartbeatMs
      return
    }
    traveller.sends += 1
    this.#to(traveller, 'sent')
    if (traveller.target.kind === 'model') this.#remember(platform, traveller.target.chain, nowMs)
    this.#effects.push({ kind: 'go', id: traveller.id, attempt: traveller.attempt })
  }

  #suspect(platform: Platform, nowMs: number): void {
    platform.defects += 1
    platform.suspectUntilMs =
      nowMs + Math.min(this.#pace.reportStaleMs, this.#pace.heartbeatMs * 2 ** Math.min(platform.defects, 4) * (0.5 + this.#chance.next()))
  }

  /** Back to waiting: it surely did not run, or may be repeated. */
  #again(traveller: Traveller, platform: Platform | undefined, why: string, nowMs: number, suspect = true): void {
    if (platform !== undefined && suspect) this.#suspect(platform, nowMs)
    this.#unbind(traveller)
    traveller.lastWhy = why
    this.#to(traveller, 'held')
  }

  #defected(
    traveller: Traveller,
    platform: Platform | undefined,
    terms: Terms | undefined,
    input: Extract<TurnoutInput, { kind: 'defect' }>,
    nowMs: number,
  ): void {
    if (traveller.phase === 'streaming') {
      if (platform !== undefined) this.#suspect(platform, nowMs)
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
    if (platform !== undefined) this.#suspect(platform, nowMs)
    this.#turnAway(traveller, 502, input.verdict, input.why)
  }

  #tell(nowMs: number): void {
    this.#tallyAtMs = nowMs + this.#pace.renewMs / 2
    const held = new Map<string, { model: string; adapter: string; count: number; dueInMs: number }>()
    const flights = new Map<string, { server: string; model: string; adapter: string; count: number }>()
    for (const { target, phase, server, dueMs } of this.#travellers.values()) {
      if (target.kind !== 'model') continue
      const { name, adapter } = target
      if (phase === 'held' && this.#terms.has(`model ${name}`)) {
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
      toAddress: this.#plan.lineman,
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
