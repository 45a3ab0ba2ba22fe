/**
 * The placement: the paper's cache, run by the node that holds the dispatcher duty. Servers are
 * entities in a table; each tick the systems run over them in turn: census, reading, settling,
 * bindings, wants, orders. An order is put to the log under the tenure before it is sent, one at a
 * time for a server, and keeps its room until a report made after it has settled it.
 */
import { z } from 'zod'
import { Charter } from '../gauge/Charter.js'
import type { Order } from '../gauge/Order.js'
import { Order as OrderSchema } from '../gauge/Order.js'
import type { Pace } from '../gauge/Pace.js'
import type { Report } from '../gauge/Report.js'
import type { BindingRow } from '../interlocking/BindingRow.js'
import type { Copy } from '../interlocking/Copy.js'
import { PlatformServer } from '../gauge/PlatformServer.js'
import { Bucket } from './Bucket.js'
import type { DispatcherOut } from './DispatcherOut.js'
import type { Policy } from './Policy.js'
import { Predictor } from './Predictor.js'
import type { Tenant } from './Tenant.js'
import type { Yard } from './Yard.js'

interface Tally {
  session: string
  heardMs: number
  adopted: number
  held: { model: string; adapter: string; count: number; dueInMs: number }[]
  flights: { server: string; model: string; adapter: string; count: number }[]
}
interface Want {
  model: string
  adapter: string
  partner: string
  held: boolean
  dueInMs: number
  urgency: number
  nextMs: number
  deltaMs: number
  why: string
}
interface Reason {
  atMs: number
  server: string
  kind: string
  model: string
  adapter: string
  why: string
}

const SavedOrder = z.object({ order: OrderSchema, incarnation: z.string() })
const keptReasons = 200
const keyOf = (model: string, adapter: string) => (adapter === '' ? model : `${model}/${adapter}`)

export class Dispatcher {
  readonly #pace: Pace
  readonly #policy: Policy
  readonly #tenure: number
  /** No dispatcher was there before, so none of its orders can be under way. */
  readonly #first: boolean
  readonly #beganMs: number
  readonly #predictor = new Predictor()
  readonly #bucket: Bucket
  readonly #yards = new Map<string, Yard>()
  readonly #tallies = new Map<string, Tally>()
  readonly #loadMs = new Map<string, number>()
  readonly #reasons: Reason[] = []
  readonly #published = new Map<string, { value: string; atMs: number }>()
  #charter: Charter | undefined
  #charterStamp = -1
  #number = 0

  constructor(pace: Pace, tenure: number, first: boolean, policy: Policy, nowMs: number) {
    this.#pace = pace
    this.#first = first
    this.#policy = policy
    this.#tenure = tenure
    this.#beganMs = nowMs
    this.#bucket = new Bucket(nowMs)
  }

  get tenure(): number {
    return this.#tenure
  }

  get reasons(): readonly Reason[] {
    return this.#reasons
  }

  get yards(): readonly Yard[] {
    return [...this.#yards.values()]
  }

  tally(
    seat: string,
    tally: Omit<Tally, 'heardMs'>,
    arrivals: readonly { model: string; adapter: string; count: number; agoMs: number }[],
    nowMs: number,
  ): void {
    this.#tallies.set(seat, { ...tally, heardMs: nowMs })
    for (const one of arrivals) {
      this.#predictor.arrived(one.model, one.count, nowMs - one.agoMs)
      if (one.adapter !== '') this.#predictor.arrived(keyOf(one.model, one.adapter), one.count, nowMs - one.agoMs)
    }
  }

  reported(server: string, report: Report | undefined, askedMs: number, nowMs: number): void {
    const yard = this.#yards.get(server)
    if (yard === undefined) return
    yard.answeredMs = nowMs
    if (report === undefined || report.server !== server) return
    const old = yard.report
    if (old !== undefined && old.incarnation === report.incarnation && old.madeMs > report.madeMs) return
    yard.report = { ...report, askedMs, heardMs: nowMs }
  }

  replied(server: string, number: number, reply: 'accepted' | 'turnedAway' | 'unknown', nowMs: number): void {
    const yard = this.#yards.get(server)
    if (yard?.task === undefined || yard.task.order.number !== number || yard.task.phase !== 'sent') return
    if (reply === 'turnedAway') {
      this.#reason(yard.name, yard.task.order, 'the server turned it away', nowMs)
      this.#drop(yard, nowMs, false, false)
    }
  }

  tick(copy: Copy, sure: boolean, hour: number, nowMs: number): DispatcherOut {
    const out: DispatcherOut = { rows: [], asks: [], orders: [], says: [] }
    this.#census(copy, nowMs)
    if (this.#charter === undefined) return out
    this.#read(out, nowMs)
    this.#settle(copy, out, nowMs)
    this.#bind(copy, out, nowMs)
    if (sure) {
      this.#plan(this.#wants(hour, nowMs), nowMs)
      this.#order(copy, out, nowMs)
    }
    return out
  }

  #census(copy: Copy, nowMs: number): void {
    const stamp = copy.stampOf('charter')
    if (stamp !== this.#charterStamp) {
      this.#charterStamp = stamp
      this.#charter =
        Charter.check(JSON.parse(copy.get('charter') ?? 'null'))
          .toMaybe()
          .extractNullable() ?? undefined
    }
    const listed = new Map(copy.under('server/').map(([name, value]) => [name, PlatformServer.parse(JSON.parse(value))]))
    for (const [name, plan] of Object.entries(this.#charter?.fleet.servers ?? {})) {
      if (plan.kind !== 'model') continue
      const server = listed.get(name)
      let yard = this.#yards.get(name)
      if (yard === undefined) {
        if (server === undefined) continue
        yard = {
          name,
          address: server.address,
          zone: server.zone,
          roomMb: 0,
          places: 0,
          open: false,
          report: undefined,
          askedMs: -Infinity,
          answeredMs: nowMs,
          task: undefined,
          plan: undefined,
          backoffUntilMs: 0,
        }
        this.#adoptOrder(yard, copy, nowMs)
        this.#yards.set(name, yard)
      }
      yard.roomMb = plan.roomMb
      yard.places = plan.places
      yard.open = server !== undefined && !server.draining && this.#charter?.zones[server.zone]?.emptied !== true
      if (server === undefined || (server.address === yard.address && server.zone === yard.zone)) continue
      yard.address = server.address
      yard.zone = server.zone
      yard.report = undefined
    }
    for (const [name, yard] of this.#yards) {
      if (this.#charter?.fleet.servers[name]?.kind === 'model' && listed.has(name)) continue
      this.#drop(yard, nowMs)
      this.#yards.delete(name)
    }
  }

  /** An order of an earlier tenure that is not known to have ended keeps its room. */
  #adoptOrder(yard: Yard, copy: Copy, nowMs: number): void {
    const value = copy.get(`order/${yard.name}`)
    if (value === undefined) return
    const saved = SavedOrder.parse(JSON.parse(value))
    if (saved.order.kind === 'load' || saved.order.kind === 'attach') this.#bucket.inherit(saved.order.sizeMb)
    yard.task = { order: saved.order, phase: 'sent', sinceMs: nowMs, sentMs: nowMs, incarnation: saved.incarnation }
  }

  #read(out: DispatcherOut, nowMs: number): void {
    for (const yard of this.#yards.values()) {
      if (nowMs - yard.askedMs < (yard.task === undefined ? this.#pace.reportMs : this.#pace.reportMs / 6)) continue
      if (yard.task === undefined && yard.answeredMs < yard.askedMs && nowMs - yard.askedMs < this.#pace.reportStaleMs) continue
      yard.askedMs = nowMs
      out.asks.push({ server: yard.name, address: yard.address })
    }
  }

  /** Read under this tenure, lately: only then is the server known well enough to be ordered. */
  #known(yard: Yard, nowMs: number): yard is Yard & { report: NonNullable<Yard['report']> } {
    if (yard.report === undefined || yard.report.askedMs < this.#beganMs || nowMs - yard.report.askedMs > this.#pace.reportStaleMs)
      return false
    if (yard.report.tenure !== undefined) return yard.report.tenure <= this.#tenure
    return this.#first || nowMs - this.#beganMs > this.#pace.dutyLicenceMs + this.#pace.orderMs
  }

  #settle(copy: Copy, out: DispatcherOut, nowMs: number): void {
    for (const yard of this.#yards.values()) {
      const { task } = yard
      if (task === undefined || task.phase !== 'sent') {
        if (task === undefined && copy.get(`order/${yard.name}`) !== undefined)
          this.#publish(out, copy, `order/${yard.name}`, undefined, nowMs)
        continue
      }
      if (!this.#known(yard, nowMs) || yard.report.askedMs <= task.sentMs) continue
      const { order } = task
      const seen = yard.report.order
      const same = seen?.tenure === order.tenure && seen.number === order.number
      if (yard.report.incarnation !== task.incarnation || (same && seen.state !== 'running')) {
        const done = same && seen.state === 'done'
        if (done && order.kind === 'load' && task.order.tenure === this.#tenure) this.#learn(order.model, yard.report.heardMs - task.sentMs)
        this.#reason(
          yard.name,
          order,
          done ? 'done' : yard.report.incarnation !== task.incarnation ? 'the server restarted' : 'the server could not',
          nowMs,
        )
        this.#drop(yard, nowMs, done)
      } else if (
        !same &&
        (order.tenure !== this.#tenure || (seen !== undefined && seen.tenure === order.tenure && seen.number > order.number))
      ) {
        this.#reason(yard.name, order, 'never reached the server', nowMs)
        this.#drop(yard, nowMs, false, false)
      }
    }
  }

  #learn(model: string, tookMs: number): void {
    const old = this.#loadMs.get(model)
    this.#loadMs.set(model, old === undefined ? tookMs : old + 0.3 * (tookMs - old))
  }

  #drop(yard: Yard, nowMs: number, done = false, mayHaveDrawn = true): void {
    const order = yard.task?.order
    const fleet = this.#charter?.fleet
    if (fleet !== undefined && (order?.kind === 'load' || order?.kind === 'attach'))
      this.#bucket.settle(order.sizeMb, mayHaveDrawn, fleet.storePaceMbPerS, fleet.storeBurstMb, nowMs)
    yard.task = undefined
    if (done) return
    yard.plan = undefined
    yard.backoffUntilMs = nowMs + this.#pace.reportMs
  }

  #publish(out: DispatcherOut, copy: Copy, key: string, value: string | undefined, nowMs: number): void {
    if (copy.get(key) === value) {
      this.#published.delete(key)
      return
    }
    const last = this.#published.get(key)
    if (last !== undefined && last.value === (value ?? '') && nowMs - last.atMs < this.#pace.electionMs) return
    this.#published.set(key, { value: value ?? '', atMs: nowMs })
    out.rows.push({ key, gone: value === undefined, value: value ?? '' })
  }

  #bind(copy: Copy, out: DispatcherOut, nowMs: number): void {
    const named = new Set<string>()
    for (const yard of this.#yards.values()) {
      named.add(yard.name)
      const { report } = yard
      if (report === undefined || nowMs - report.askedMs > this.#pace.reportStaleMs) {
        if (nowMs - this.#beganMs > this.#pace.reportStaleMs) this.#publish(out, copy, `binding/${yard.name}`, undefined, nowMs)
        continue
      }
      const task = yard.task?.order
      const leaving = task?.kind === 'unload' ? task.model : ''
      const detaching = task?.kind === 'detach' ? keyOf(task.model, task.adapter) : ''
      const binding: BindingRow = {
        incarnation: report.incarnation,
        models: report.models
          .filter((one) => one.state === 'loaded' && one.model !== leaving)
          .map((one) => one.model)
          .sort(),
        adapters: report.adapters
          .filter((one) => one.state === 'loaded' && one.model !== leaving)
          .map((one) => keyOf(one.model, one.adapter))
          .filter((key) => key !== detaching)
          .sort(),
      }
      this.#publish(out, copy, `binding/${yard.name}`, JSON.stringify(binding), nowMs)
    }
    for (const [name] of copy.under('binding/')) if (!named.has(name)) this.#publish(out, copy, `binding/${name}`, undefined, nowMs)
  }

  #thetaMs(model: string, sizeMb: number): number {
    return this.#loadMs.get(model) ?? (1000 * sizeMb) / (this.#charter?.fleet.storePaceMbPerS ?? 1)
  }

  /** The models and adapters that some request waits for, or whose window is open, and that no open server holds. */
  #wants(hour: number, nowMs: number): Want[] {
    const charter = this.#charter
    if (charter === undefined) return []
    const held = new Map<string, number>()
    for (const tally of this.#tallies.values()) {
      if (nowMs - tally.heardMs > this.#pace.licenceMs) continue
      for (const one of tally.held)
        held.set(keyOf(one.model, one.adapter), Math.min(held.get(keyOf(one.model, one.adapter)) ?? Infinity, one.dueInMs))
    }
    const wants: Want[] = []
    for (const [partner, branch] of Object.entries(charter.partners)) {
      for (const [model, plan] of Object.entries(branch.models)) {
        const { intent } = Charter.limits(charter, partner, plan.limits)
        const inHours = intent.hours.some((span) => hour >= span.from && hour < span.to)
        for (const adapter of ['', ...plan.adapters]) {
          const key = keyOf(model, adapter)
          const copies = [...this.#yards.values()].filter((yard) => yard.open && this.#holds(yard, model, adapter))
          const dueInMs = held.get(key)
          const forecast = this.#predictor.forecast(key, nowMs)
          const thetaMs = this.#thetaMs(model, plan.sizeMb)
          const base = { model, adapter, partner, urgency: intent.weight * (1 + intent.coldStartCost) }
          if (dueInMs !== undefined && (copies.length === 0 || this.#crowded(copies, model))) {
            wants.push({
              ...base,
              held: true,
              dueInMs,
              nextMs: nowMs,
              deltaMs: forecast?.deltaMs ?? 0,
              why: copies.length === 0 ? 'a request waits' : 'requests wait although a copy is there',
            })
          } else if (!this.#policy.foresees) continue
          else if (
            copies.length === 0 &&
            forecast !== undefined &&
            nowMs >= forecast.nextMs - forecast.deltaMs - thetaMs &&
            nowMs <= forecast.nextMs + forecast.deltaMs
          ) {
            wants.push({
              ...base,
              held: false,
              dueInMs: Infinity,
              nextMs: forecast.nextMs,
              deltaMs: forecast.deltaMs,
              why: 'a request is forecast',
            })
          } else if (copies.length === 0 && inHours && adapter === '') {
            wants.push({
              ...base,
              held: false,
              dueInMs: Infinity,
              nextMs: nowMs,
              deltaMs: forecast?.deltaMs ?? 0,
              why: 'its partner wants it in these hours',
            })
          }
        }
      }
    }
    return wants.sort((a, b) => Number(b.held) - Number(a.held) || b.urgency - a.urgency || a.nextMs - b.nextMs)
  }

  /** A further copy is wanted only once the copies that exist have been there for a while and none is on its way. */
  #crowded(copies: readonly Yard[], model: string): boolean {
    return !this.#coming(model, '') && copies.every((yard) => (yard.report?.models.find((one) => one.model === model)?.flights ?? 0) > 0)
  }

  /** True when a load of the model, or an attach of this adapter, is planned or under way somewhere. */
  #coming(model: string, adapter: string): boolean {
    for (const { plan, task } of this.#yards.values()) {
      if (plan?.model === model && (plan.adapter === '' || plan.adapter === adapter)) return true
      if (task?.order.model === model && (task.order.kind === 'load' || (task.order.kind === 'attach' && task.order.adapter === adapter)))
        return true
    }
    return false
  }

  #holds(yard: Yard, model: string, adapter: string): boolean {
    const { report, task } = yard
    if (report === undefined) return false
    if (task?.order.kind === 'unload' && task.order.model === model) return false
    if (!report.models.some((one) => one.model === model && one.state === 'loaded')) return false
    if (adapter === '') return true
    if (task?.order.kind === 'detach' && task.order.model === model && task.order.adapter === adapter) return false
    return report.adapters.some((one) => one.model === model && one.adapter === adapter && one.state === 'loaded')
  }

  /** Configured size, less every weight reported, less every load not known to have ended. */
  #roomMb(yard: Yard, report: Report): number {
    let room = yard.roomMb
    for (const one of report.models) room -= one.sizeMb
    const order = yard.task?.order
    if (order?.kind === 'load' && !report.models.some((one) => one.model === order.model)) room -= order.sizeMb
    return room
  }

  #places(yard: Yard, report: Report): number {
    const order = yard.task?.order
    const coming = order?.kind === 'attach' && !report.adapters.some((one) => one.model === order.model && one.adapter === order.adapter)
    return yard.places - report.adapters.length - (coming ? 1 : 0)
  }

  #plan(wants: readonly Want[], nowMs: number): void {
    const charter = this.#charter
    if (charter === undefined) return
    const historyMs = this.#predictor.historyMs
    const live = new Set(wants.map((want) => keyOf(want.model, want.adapter)))
    for (const yard of this.#yards.values()) {
      if (yard.plan !== undefined && yard.task === undefined && !live.has(keyOf(yard.plan.model, yard.plan.adapter))) yard.plan = undefined
    }
    for (const want of wants) {
      const plan = charter.partners[want.partner]?.models[want.model]
      if (plan === undefined) continue
      if (this.#coming(want.model, want.adapter)) continue
      const free = [...this.#yards.values()].filter(
        (yard) =>
          yard.open &&
          yard.task === undefined &&
          yard.plan === undefined &&
          nowMs >= yard.backoffUntilMs &&
          this.#known(yard, nowMs) &&
          (plan.servers?.includes(yard.name) ?? true),
      )
      const withModel = free.filter((yard) => this.#holds(yard, want.model, ''))
      const attach = want.adapter !== '' && [...this.#yards.values()].some((yard) => yard.open && this.#holds(yard, want.model, ''))
      const fitting = attach
        ? withModel.filter((yard) => !this.#holds(yard, want.model, want.adapter))
        : free.filter((yard) => !withModel.includes(yard) && yard.roomMb >= plan.sizeMb && (want.adapter === '' || yard.places > 0))
      const step = attach ? want : { ...want, adapter: '' }
      const size = attach ? 1 : plan.sizeMb
      if (this.#choose(step, fitting, size, historyMs, 'nothing', nowMs)) continue
      if (want.dueInMs > this.#pace.reportStaleMs + 2 * this.#thetaMs(want.model, plan.sizeMb) + this.#pace.reportStaleMs) continue
      for (const relaxed of ['history', 'overlap', 'doubles'] as const)
        if (this.#choose(step, fitting, size, historyMs, relaxed, nowMs)) break
    }
  }

  #choose(
    want: Want,
    yards: readonly Yard[],
    size: number,
    historyMs: number,
    relaxed: 'nothing' | 'history' | 'overlap' | 'doubles',
    nowMs: number,
  ): boolean {
    let best: { yard: Yard; victims: string[]; rank: number } | undefined
    const newcomer = { nextMs: want.nextMs, windowFromMs: want.nextMs - want.deltaMs, windowToMs: want.nextMs + want.deltaMs, size }
    for (const yard of yards) {
      const { report } = yard
      if (report === undefined) continue
      const free = want.adapter === '' ? this.#roomMb(yard, report) : this.#places(yard, report)
      const tenants = this.#tenants(yard, report, want.adapter !== '', nowMs).filter((one) => one.key !== want.model)
      const victims = this.#policy.evict(newcomer, tenants, free, historyMs, nowMs, relaxed)
      if (victims === undefined) continue
      const lowest = Math.min(...victims.map((one) => one.score))
      const rank = victims.length === 0 ? 2 + free / 1e9 : lowest
      if (best === undefined || rank > best.rank) best = { yard, victims: victims.map((one) => one.key), rank }
    }
    if (best === undefined) return false
    const why = relaxed === 'nothing' ? want.why : `${want.why}; last resort, lets go of ${relaxed}`
    best.yard.plan = { model: want.model, adapter: want.adapter, victims: best.victims, why, relaxed }
    return true
  }

  #tenants(yard: Yard, report: Report, adapters: boolean, nowMs: number): Tenant[] {
    const holds = adapters
      ? report.adapters.map((one) => ({
          key: keyOf(one.model, one.adapter),
          model: one.model,
          adapter: one.adapter,
          state: one.state,
          flights: one.flights,
          size: 1,
          thetaMs: 0,
        }))
      : report.models.map((one) => ({
          key: one.model,
          model: one.model,
          adapter: '',
          state: one.state,
          flights: one.flights,
          size: one.sizeMb,
          thetaMs: this.#thetaMs(one.model, one.sizeMb),
        }))
    return holds
      .filter((one) => one.state === 'loaded' && one.flights === 0)
      .map((one) => {
        const forecast = this.#predictor.forecast(one.key, nowMs) ?? { nextMs: nowMs + 24 * 3_600_000, deltaMs: 0 }
        return {
          key: one.key,
          nextMs: forecast.nextMs,
          windowFromMs: forecast.nextMs - forecast.deltaMs - one.thetaMs,
          windowToMs: forecast.nextMs + forecast.deltaMs,
          lastMs: this.#predictor.lastMs(one.key),
          surprise: this.#predictor.surprise(one.key, forecast.deltaMs, nowMs),
          size: one.size,
          doubled: [...this.#yards.values()].some((other) => other !== yard && other.open && this.#holds(other, one.model, one.adapter)),
        }
      })
  }

  #order(copy: Copy, out: DispatcherOut, nowMs: number): void {
    for (const yard of this.#yards.values()) {
      if (yard.task === undefined && yard.plan !== undefined) this.#next(yard, nowMs)
      const { task } = yard
      if (task === undefined || task.order.tenure !== this.#tenure) continue
      if (task.phase === 'withdrawing') {
        if (this.#withdrawn(yard, task.order, copy, nowMs)) task.phase = 'proposed'
        else if (nowMs - task.sinceMs > this.#pace.orderMs) {
          this.#reason(yard.name, task.order, 'streams in flight outlasted the wait', nowMs)
          this.#drop(yard, nowMs)
          continue
        }
      }
      if (task.phase === 'proposed') {
        const saved = JSON.stringify({ order: task.order, incarnation: task.incarnation })
        if (copy.get(`order/${yard.name}`) !== saved) this.#publish(out, copy, `order/${yard.name}`, saved, nowMs)
        else this.#send(yard, out, nowMs)
      } else if (
        task.phase === 'sent' &&
        nowMs - task.sentMs > this.#pace.orderMs / 8 &&
        this.#known(yard, nowMs) &&
        yard.report.askedMs > task.sentMs
      ) {
        const seen = yard.report.order
        if (seen?.tenure === task.order.tenure && seen.number >= task.order.number) continue
        if (yard.report.tenure !== undefined) this.#send(yard, out, nowMs)
        else if (nowMs - task.sentMs > this.#pace.orderMs) {
          this.#reason(yard.name, task.order, 'never reached the server, which cannot tell a late copy', nowMs)
          this.#drop(yard, nowMs)
        }
      }
    }
  }

  #send(yard: Yard, out: DispatcherOut, nowMs: number): void {
    if (yard.task === undefined) return
    yard.task.phase = 'sent'
    yard.task.sentMs = nowMs
    out.orders.push({ server: yard.name, address: yard.address, order: yard.task.order })
  }

  /** Takes the next step of a plan: a victim's unload while there is one, then the load itself. */
  #next(yard: Yard, nowMs: number): void {
    const { plan } = yard
    if (plan === undefined || !this.#known(yard, nowMs) || nowMs < yard.backoffUntilMs) return
    const { report } = yard
    const victim = plan.victims.shift()
    if (victim !== undefined) {
      const [model = '', adapter = ''] = victim.split('/')
      if (!this.#stillMakesWay(yard, report, victim, adapter !== '', plan.relaxed, nowMs)) {
        yard.plan = undefined
        return
      }
      this.#begin(
        yard,
        adapter === '' ? 'unload' : 'detach',
        model,
        adapter,
        0,
        `makes way for ${keyOf(plan.model, plan.adapter)}: ${plan.why}`,
        nowMs,
      )
      return
    }
    const model = Object.values(this.#charter?.partners ?? {})
      .map((branch) => branch.models[plan.model])
      .find((one) => one !== undefined)
    const fleet = this.#charter?.fleet
    if (model === undefined || fleet === undefined) {
      yard.plan = undefined
      return
    }
    const attach = plan.adapter !== ''
    const fits = attach ? this.#places(yard, report) >= 1 : this.#roomMb(yard, report) >= model.sizeMb
    if (!fits || !yard.open) {
      yard.plan = undefined
      return
    }
    if (!this.#bucket.reserve(attach ? model.adapterMb : model.sizeMb, fleet.storePaceMbPerS, fleet.storeBurstMb, nowMs)) return
    this.#begin(yard, attach ? 'attach' : 'load', plan.model, plan.adapter, attach ? model.adapterMb : model.sizeMb, plan.why, nowMs)
    yard.plan = undefined
  }

  /** Between the count and the enacting a victim may have been requested, or its window may have opened. */
  #stillMakesWay(yard: Yard, report: Report, key: string, adapters: boolean, relaxed: string, nowMs: number): boolean {
    const tenant = this.#tenants(yard, report, adapters, nowMs).find((one) => one.key === key)
    if (tenant === undefined) return false
    if (!this.#policy.foresees) return true
    const outside = nowMs < tenant.windowFromMs || nowMs > tenant.windowToMs || (relaxed === 'doubles' && tenant.doubled)
    return outside && (relaxed !== 'nothing' || nowMs - tenant.lastMs > this.#predictor.historyMs)
  }

  #begin(yard: Yard, kind: Order['kind'], model: string, adapter: string, sizeMb: number, why: string, nowMs: number): void {
    this.#number += 1
    const order: Order = { tenure: this.#tenure, number: this.#number, kind, model, adapter, sizeMb }
    const takesAway = kind === 'unload' || kind === 'detach'
    yard.task = {
      order,
      phase: takesAway ? 'withdrawing' : 'proposed',
      sinceMs: nowMs,
      sentMs: 0,
      incarnation: yard.report?.incarnation ?? '',
    }
    this.#reason(yard.name, order, why, nowMs)
  }

  /** True once no turnout can be using what is to go: each has adopted the binding without it and counts none in flight, or surely stopped. */
  #withdrawn(yard: Yard, order: Order, copy: Copy, nowMs: number): boolean {
    const value = copy.get(`binding/${yard.name}`)
    if (value !== undefined) {
      const holds: unknown = JSON.parse(value)
      const binding = z.object({ models: z.array(z.string()), adapters: z.array(z.string()) }).parse(holds)
      if (order.adapter === '' ? binding.models.includes(order.model) : binding.adapters.includes(keyOf(order.model, order.adapter)))
        return false
    }
    const stamp = copy.stampOf(`binding/${yard.name}`)
    for (const [seat] of copy.under('seat/')) {
      const tally = this.#tallies.get(seat)
      const heardMs = Math.max(tally?.heardMs ?? -Infinity, this.#beganMs)
      if (nowMs - heardMs > 2 * this.#pace.licenceMs) continue
      if (tally === undefined || tally.adopted < stamp) return false
      if (
        tally.flights.some(
          (one) =>
            one.server === yard.name &&
            one.model === order.model &&
            (order.adapter === '' || one.adapter === order.adapter) &&
            one.count > 0,
        )
      )
        return false
    }
    const { report } = yard
    if (report === undefined || report.askedMs <= (yard.task?.sinceMs ?? 0)) return false
    return order.adapter === ''
      ? report.models.every((one) => one.model !== order.model || one.flights === 0)
      : report.adapters.every((one) => one.model !== order.model || one.adapter !== order.adapter || one.flights === 0)
  }

  #reason(server: string, order: Order, why: string, nowMs: number): void {
    this.#reasons.push({ atMs: nowMs, server, kind: order.kind, model: order.model, adapter: order.adapter, why })
    if (this.#reasons.length > keptReasons) this.#reasons.shift()
  }
}
