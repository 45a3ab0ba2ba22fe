/**
 * The placement: the paper's cache, run by the node that holds the dispatcher duty. Servers are entities
 * in a table; each tick the systems run over them in turn: census, reading, settling, bindings, wants,
 * orders. An order is put to the log under the epoch before it is sent, one at a time for a server, and
 * keeps its room until a report made after it has settled it.
 */
import { z } from 'zod'
import type { Order } from '../common/Order.js'
import { Order as OrderSchema } from '../common/Order.js'
import type { Timings } from '../common/Timings.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Report } from '../common/Report.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'
import { Bucket } from './Bucket.js'
import { Demand } from './Demand.js'
import type { DispatcherOut } from './DispatcherOut.js'
import { keyOf } from './keyOf.js'
import type { Placer } from './Placer.js'
import { Planner } from './Planner.js'
import type { Policy } from './Policy.js'
import type { Tally } from './Tally.js'
import { Yard } from './Yard.js'
import { Yards } from './Yards.js'

interface Reason {
  atMs: number
  server: string
  kind: string
  model: string
  adapter: string
  why: string
}
interface Outlook {
  model: string
  adapter: string
  readyInMs: number
  neverBeforeMs: number
}

const SavedOrder = z.object({ order: OrderSchema, incarnation: z.string() })
const keptReasons = 200
const loadsMs = 100
/** In a network: how old a list's word on holdings is, how old a report's is, and how soon a binding is known everywhere. */
const listLagMs = 800
const reportLagMs = 500
const spreadMs = 30
const attachAskMs = 50
const unloadAskMs = 100
const refusedMs = 100
const againMs = 60
const followsMs = 3000

export class Dispatcher {
  readonly #timings: Timings
  readonly #epoch: number
  readonly #beganMs: number
  readonly #yards: Yards
  readonly #planner: Planner
  readonly #demand: Demand
  readonly #bucket: Bucket
  readonly #reasons: Reason[] = []
  #deafSinceMs: number | undefined
  #loads: { atMs: number; counts: { key: string; count: number }[] } = { atMs: -Infinity, counts: [] }
  #number = 0

  constructor(timings: Timings, epoch: number, first: boolean, policy: Policy, nowMs: number) {
    this.#timings = timings
    this.#epoch = epoch
    this.#beganMs = nowMs
    this.#yards = new Yards(timings, epoch, first, nowMs)
    this.#planner = new Planner(timings, policy, this.#yards)
    this.#demand = new Demand(timings, policy, this.#yards, this.#planner.tallies, nowMs)
    this.#bucket = new Bucket(nowMs)
  }

  get #placer(): Placer {
    return this.#counts ? this.#demand : this.#planner
  }

  get #counts(): boolean {
    return this.#yards.fleet?.counts === true
  }

  get epoch(): number {
    return this.#epoch
  }

  get reasons(): readonly Reason[] {
    return this.#reasons
  }

  /** Wanted and not to be had anywhere yet: what operators see as out of room. */
  get unmet(): readonly { model: string; adapter: string; why: string }[] {
    return this.#placer.wants
      .filter((want) => want.kind === 'held' && !this.#yards.coming(want.model, want.adapter))
      .map(({ model, adapter, why }) => ({ model, adapter, why }))
  }

  /** True once most servers have been silent for long: another core machine may hear them. */
  deaf(nowMs: number): boolean {
    if (!this.#yards.deaf(nowMs)) this.#deafSinceMs = undefined
    else this.#deafSinceMs ??= nowMs
    return this.#deafSinceMs !== undefined && nowMs - this.#deafSinceMs > 2 * this.#timings.reportStaleMs
  }

  tally(
    seat: string,
    tally: Omit<Tally, 'heardMs'>,
    arrivals: readonly { model: string; adapter: string; count: number; agoMs: number }[],
    nowMs: number,
  ): void {
    this.#planner.tallies.set(seat, { ...tally, heardMs: nowMs })
    const placers = this.#yards.fleet === undefined ? [this.#planner, this.#demand] : [this.#placer]
    for (const placer of placers) for (const one of arrivals) placer.arrived(one.model, one.adapter, one.count, nowMs - one.agoMs)
    if (tally.held.length > 0) this.#demand.urge()
  }

  /** Requests at each server over all who told of theirs lately. */
  loads(nowMs: number): { key: string; count: number }[] {
    if (nowMs - this.#loads.atMs < loadsMs) return this.#loads.counts
    const sums = new Map<string, number>()
    for (const tally of this.#planner.tallies.values()) {
      if (nowMs - tally.heardMs > this.#timings.leaseMs) continue
      for (const { server, count } of tally.flights) sums.set(server, (sums.get(server) ?? 0) + count)
    }
    this.#loads = { atMs: nowMs, counts: [...sums].map(([key, count]) => ({ key, count })) }
    return this.#loads.counts
  }

  /** What requests that wait may expect: when a copy is likely ready, and before when there certainly is none. */
  outlook(held: readonly { model: string; adapter: string }[], nowMs: number): Outlook[] {
    const { fleet } = this.#yards
    if (fleet === undefined) return []
    const { perS, burst, draw } = fleet.store
    return held.flatMap(({ model, adapter }) => {
      const plan = this.#yards.planOf(model)
      if (plan === undefined) return []
      const certain = this.#nowhere(model, nowMs)
      const neverBeforeMs = certain ? this.#bucket.earliestMs(draw({ kind: 'load', sizeMb: plan.sizeMb }), perS, burst, nowMs) : 0
      return [{ model, adapter, neverBeforeMs, readyInMs: Math.max(neverBeforeMs, this.#readyInMs(model, adapter, plan.sizeMb, nowMs)) }]
    })
  }

  /** True when every server that the plan names is known and none has the model in any state, nor is to get it. */
  #nowhere(model: string, nowMs: number): boolean {
    const named = this.#yards.fleet?.servers.size ?? 0
    const yards = this.#yards.all
    return (
      yards.length === named &&
      yards.every((yard) => this.#yards.known(yard, nowMs) && !yard.report.models.some((one) => one.model === model)) &&
      !yards.some((yard) => yard.task?.order.model === model)
    )
  }

  /** The order under way, else the wants before it at the store's pace, else the first window to close. */
  #readyInMs(model: string, adapter: string, sizeMb: number, nowMs: number): number {
    const yards = this.#yards.all.filter((yard) => yard.open)
    if (yards.some((yard) => Yard.holds(yard, model, adapter))) return 0
    if (this.#counts && adapter !== '' && yards.some((yard) => Yard.holds(yard, model, ''))) return 4 * attachAskMs
    const thetaMs = this.#placer.thetaMs(model, sizeMb)
    for (const { task, plan } of yards) {
      if (task?.order.model === model && task.order.kind === 'load')
        return Math.max(0, thetaMs - (nowMs - task.sinceMs)) + this.#timings.reportMs
      if (plan?.model === model) return (1 + 2 * plan.victims.length) * this.#timings.reportMs + thetaMs
    }
    const { fleet } = this.#yards
    const { wants } = this.#placer
    const ahead = wants.slice(
      0,
      wants.findIndex((want) => want.model === model),
    )
    const drawn = ahead.reduce(
      (sum, want) => sum + (fleet?.store.draw({ kind: 'load', sizeMb: this.#yards.planOf(want.model)?.sizeMb ?? 0 }) ?? 0),
      0,
    )
    const queuedMs = (1000 * drawn) / (fleet?.store.perS ?? 1) + thetaMs
    if (yards.some((yard) => Yard.freeMb(yard) >= sizeMb)) return queuedMs
    const closes = yards.flatMap((yard) => this.#placer.tenants(yard, false, nowMs).map((one) => Math.max(0, one.windowToMs - nowMs)))
    return queuedMs + Math.min(this.#timings.orderMs, ...closes)
  }

  reported(server: string, report: Report | undefined, askedMs: number, nowMs: number): void {
    this.#yards.reported(server, report, askedMs, nowMs)
  }

  /** The platform's list with what servers hold, as of `lagMs` before it was asked for. */
  listed(servers: readonly PlatformServer[], askedMs: number, nowMs: number, lagMs = listLagMs): void {
    this.#yards.listed(servers, askedMs - lagMs, lagMs, nowMs)
  }

  replied(server: string, number: number, reply: 'accepted' | 'turnedAway' | 'unknown' | 'held', nowMs: number): void {
    const yard = this.#yards.get(server)
    if (yard?.task === undefined || yard.task.order.number !== number || yard.task.phase !== 'sent') return
    if (this.#counts) {
      this.#repliedCounting(yard, reply, nowMs)
      return
    }
    if (reply === 'turnedAway') {
      this.#reason(yard.name, yard.task.order, 'the server turned it away', nowMs)
      this.#drop(yard, nowMs, false, false)
    }
  }

  /** A load that was taken has begun, so the store's pace counts from then; what was refused or done already is read again first. */
  #repliedCounting(yard: Yard, reply: 'accepted' | 'turnedAway' | 'unknown' | 'held', nowMs: number): void {
    const { task } = yard
    if (task === undefined) return
    if (reply === 'accepted') {
      if (task.takenMs === undefined) this.#giveBack(yard, true, nowMs)
      task.takenMs ??= nowMs
      if (task.order.epoch === this.#epoch) this.#takenAway(yard, task.order, nowMs)
    } else if (reply === 'unknown') task.unansweredMs ??= nowMs
    else if (reply === 'turnedAway' && nowMs - yard.leavingMs < followsMs) {
      task.againMs = Math.min(4 * againMs, 2 * (task.againMs ?? againMs / 2))
      task.sendAtMs = nowMs + task.againMs
    } else {
      this.#reason(yard.name, task.order, reply === 'held' ? 'it was so already' : 'the server turned it away', nowMs)
      this.#drop(yard, nowMs, false, false)
      yard.sequence = undefined
      yard.askedMs = -Infinity
    }
  }

  /**
   * A server carries out one order at a time and turns the next away until then. So what it has agreed to let
   * go is gone for whoever comes next: the load that follows is sent at once, and again while it is turned away.
   */
  #takenAway(yard: Yard, order: Order, nowMs: number): void {
    const { report } = yard
    if (report === undefined || order.expected === undefined || (order.kind !== 'unload' && order.kind !== 'detach')) return
    const whole = order.kind === 'unload'
    yard.report = {
      ...report,
      models: whole ? report.models.filter((one) => one.model !== order.model) : report.models,
      adapters: report.adapters.filter((one) => one.model !== order.model || (!whole && one.adapter !== order.adapter)),
      askedMs: nowMs,
      sequence: order.expected + 1,
      busy: false,
    }
    yard.sequence = order.expected + 1
    yard.leavingMs = nowMs
    this.#reason(yard.name, order, 'agreed to', nowMs)
    this.#drop(yard, nowMs, true)
  }

  tick(copy: ReplicaTable, sure: boolean, hour: number, nowMs: number): DispatcherOut {
    const out: DispatcherOut = { rows: [], asks: [], orders: [], says: [] }
    const joins = (yard: Yard) => {
      this.#adoptOrder(yard, copy, nowMs)
    }
    this.#yards.census(copy, nowMs, joins, (yard) => {
      this.#drop(yard, nowMs)
    })
    if (this.#yards.fleet === undefined) return out
    this.#yards.read(out, (yard) => this.#settlesInMs(yard), nowMs)
    this.#settle(copy, out, nowMs)
    this.#yards.bind(copy, out, nowMs)
    if (sure) {
      this.#placer.tick(hour, nowMs)
      this.#order(copy, out, nowMs)
    }
    return out
  }

  /** An order of an earlier epoch that is not known to have ended keeps its room. */
  #adoptOrder(yard: Yard, copy: ReplicaTable, nowMs: number): void {
    const value = copy.get(`order/${yard.name}`)
    if (value === undefined) return
    const saved = SavedOrder.parse(JSON.parse(value))
    this.#bucket.inherit(this.#yards.fleet?.store.draw(saved.order) ?? 0)
    yard.task = { order: saved.order, phase: 'sent', sinceMs: nowMs, sentMs: nowMs, incarnation: saved.incarnation }
  }

  #settle(copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    for (const yard of this.#yards.all) {
      const { task } = yard
      if (task === undefined || task.phase !== 'sent') {
        if (task === undefined && copy.get(`order/${yard.name}`) !== undefined)
          this.#yards.publish(out, copy, `order/${yard.name}`, undefined, nowMs)
        continue
      }
      if (this.#counts) {
        this.#settleCounting(yard, task, nowMs)
        continue
      }
      if (!this.#yards.known(yard, nowMs) || yard.report.askedMs <= task.sentMs) continue
      const { order } = task
      const seen = yard.report.order
      const same = seen?.epoch === order.epoch && seen.number === order.number
      if (yard.report.incarnation !== task.incarnation || (same && seen.state !== 'running')) {
        const done = same && seen.state === 'done'
        if (done && order.kind === 'load' && task.order.epoch === this.#epoch)
          this.#planner.learn(order.model, yard.report.heardMs - task.sentMs)
        this.#reason(
          yard.name,
          order,
          done ? 'done' : yard.report.incarnation !== task.incarnation ? 'the server restarted' : 'the server could not',
          nowMs,
        )
        this.#drop(yard, nowMs, done)
      } else if (
        !same &&
        (order.epoch !== this.#epoch || (seen !== undefined && seen.epoch === order.epoch && seen.number > order.number))
      ) {
        this.#reason(yard.name, order, 'never reached the server', nowMs)
        this.#drop(yard, nowMs, false, false)
      }
    }
  }

  #drop(yard: Yard, nowMs: number, done = false, mayHaveDrawn = true): void {
    if (yard.task?.takenMs === undefined) this.#giveBack(yard, mayHaveDrawn, nowMs)
    this.#yards.turn += 1
    yard.settledMs = nowMs
    yard.task = undefined
    if (done) return
    yard.plan = undefined
    yard.backoffUntilMs = nowMs + (this.#counts ? refusedMs : this.#timings.reportMs)
  }

  #giveBack(yard: Yard, mayHaveDrawn: boolean, nowMs: number): void {
    const store = this.#yards.fleet?.store
    if (store === undefined || yard.task === undefined) return
    const { order } = yard.task
    const drawn = store.draw(order)
    if (drawn > 0 || (!this.#counts && (order.kind === 'load' || order.kind === 'attach')))
      this.#bucket.settle(drawn, mayHaveDrawn, store.perS, store.burst, yard.task.sentMs, nowMs)
  }

  /** When reading a server that counts its orders is first likely to show the order done. */
  #settlesInMs({ task }: Yard): number {
    const order = task?.order
    if (order === undefined) return 0
    return order.kind === 'load' ? 0.8 * this.#demand.thetaMs(order.model) : order.kind === 'unload' ? unloadAskMs : attachAskMs
  }

  /**
   * An order is settled by a report that counts it and is not busy; one that no answer told of, by a report
   * that surely was made after it and does not count it; else by time, and then the server is read anew.
   */
  #settleCounting(yard: Yard, task: NonNullable<Yard['task']>, nowMs: number): void {
    const { report } = yard
    const { order } = task
    const expected = order.expected
    const unansweredMs = order.epoch === this.#epoch ? task.unansweredMs : task.sentMs
    if (report?.sequence !== undefined && report.askedMs > task.sentMs && report.busy !== true && expected !== undefined) {
      const there =
        order.adapter === ''
          ? report.models.some((one) => one.model === order.model)
          : report.adapters.some((one) => one.model === order.model && one.adapter === order.adapter)
      const done = there === (order.kind === 'load' || order.kind === 'attach')
      if (report.sequence > expected) {
        if (done && order.kind === 'load' && order.epoch === this.#epoch) this.#demand.learn(order.model, report.heardMs - task.sentMs)
        this.#reason(yard.name, order, done ? 'done' : 'the server could not', nowMs)
        this.#drop(yard, nowMs, done)
        return
      }
      if (unansweredMs !== undefined && report.askedMs > unansweredMs + reportLagMs) {
        this.#reason(yard.name, order, 'never reached the server', nowMs)
        this.#drop(yard, nowMs)
        return
      }
    }
    if (nowMs - task.sentMs <= Math.max(this.#timings.orderMs, 4 * this.#demand.thetaMs(order.model))) return
    this.#reason(yard.name, order, 'not known to have ended; the server is read anew', nowMs)
    this.#drop(yard, nowMs)
    yard.sequence = undefined
  }

  #order(copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    for (const yard of this.#yards.all) {
      if (yard.task === undefined && yard.plan !== undefined) this.#next(yard, nowMs)
      const { task } = yard
      if (task === undefined || task.order.epoch !== this.#epoch) continue
      if (task.phase === 'withdrawing') {
        if (this.#withdrawn(yard, task.order, copy, nowMs)) task.phase = 'proposed'
        else if (nowMs - task.sinceMs > this.#timings.orderMs) {
          this.#reason(yard.name, task.order, 'streams in flight outlasted the wait', nowMs)
          this.#drop(yard, nowMs)
          continue
        }
      }
      if (task.phase === 'proposed') {
        const saved = JSON.stringify({ order: task.order, incarnation: task.incarnation })
        if (copy.get(`order/${yard.name}`) !== saved) this.#yards.publish(out, copy, `order/${yard.name}`, saved, nowMs)
        else this.#send(yard, out, nowMs)
      } else if (this.#counts && task.phase === 'sent' && task.sendAtMs !== undefined && nowMs >= task.sendAtMs) {
        delete task.sendAtMs
        this.#send(yard, out, nowMs)
      } else if (
        !this.#counts &&
        task.phase === 'sent' &&
        nowMs - task.sentMs > this.#timings.orderMs / 8 &&
        this.#yards.known(yard, nowMs) &&
        yard.report.askedMs > task.sentMs
      ) {
        const seen = yard.report.order
        if (seen?.epoch === task.order.epoch && seen.number >= task.order.number) continue
        if (yard.report.epoch !== undefined) this.#send(yard, out, nowMs)
        else if (nowMs - task.sentMs > this.#timings.orderMs) {
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
    if (plan === undefined || !this.#yards.known(yard, nowMs) || nowMs < yard.backoffUntilMs) return
    if (this.#counts && yard.sequence === undefined) return
    const victim = plan.victims.shift()
    if (victim !== undefined) {
      const [model = '', adapter = ''] = victim.split('/')
      if (!this.#placer.stillMakesWay(yard, victim, adapter !== '', plan.relaxed, nowMs)) {
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
    const model = this.#yards.planOf(plan.model)
    const { fleet } = this.#yards
    if (model === undefined || fleet === undefined) {
      yard.plan = undefined
      return
    }
    const attach = plan.adapter !== ''
    const fits = attach
      ? Yard.freePlaces(yard) >= 1 && (!this.#counts || Yard.freeMb(yard) >= model.adapterMb)
      : Yard.freeMb(yard) >= model.sizeMb
    const there = this.#counts && Yard.holds(yard, plan.model, plan.adapter)
    if (!fits || !yard.open || there || (attach && this.#counts && !Yard.holds(yard, plan.model, ''))) {
      yard.plan = undefined
      return
    }
    const { store } = fleet
    const kind = attach ? 'attach' : 'load'
    const sizeMb = attach ? model.adapterMb : model.sizeMb
    if (kind === 'load' && this.#loading(nowMs) >= store.atOnce) return
    const drawn = store.draw({ kind, sizeMb })
    if ((drawn > 0 || !this.#counts) && !this.#bucket.reserve(drawn, store.perS, store.burst, nowMs)) return
    this.#begin(yard, kind, plan.model, plan.adapter, sizeMb, plan.why, nowMs)
    yard.plan = undefined
  }

  /** Loads that the store is giving now: what was taken a load's time ago is there, though no report has told so yet. */
  #loading(nowMs: number): number {
    return this.#yards.all.filter(({ task }) => {
      if (task?.order.kind !== 'load') return false
      const loadMs = this.#counts ? (this.#yards.planOf(task.order.model)?.loadMs ?? Infinity) : Infinity
      return task.takenMs === undefined || nowMs - task.takenMs < loadMs
    }).length
  }

  #begin(yard: Yard, kind: Order['kind'], model: string, adapter: string, sizeMb: number, why: string, nowMs: number): void {
    this.#number += 1
    const order: Order = {
      epoch: this.#epoch,
      number: this.#number,
      kind,
      model,
      adapter,
      sizeMb,
      ...(yard.sequence === undefined ? {} : { expected: yard.sequence }),
    }
    const takesAway = kind === 'unload' || kind === 'detach'
    yard.task = {
      order,
      phase: takesAway ? 'withdrawing' : 'proposed',
      sinceMs: nowMs,
      sentMs: 0,
      incarnation: yard.report?.incarnation ?? '',
    }
    this.#yards.turn += 1
    this.#reason(yard.name, order, why, nowMs)
  }

  /** True once no proxy can be using what is to go: each has adopted the binding without it and counts none in flight, or surely stopped. */
  #withdrawn(yard: Yard, order: Order, copy: ReplicaTable, nowMs: number): boolean {
    const value = copy.get(`binding/${yard.name}`)
    if (value !== undefined) {
      const holds: unknown = JSON.parse(value)
      const binding = z.object({ models: z.array(z.string()), adapters: z.array(z.string()) }).parse(holds)
      if (order.adapter === '' ? binding.models.includes(order.model) : binding.adapters.includes(keyOf(order.model, order.adapter)))
        return false
    }
    if (this.#counts) {
      if (yard.task !== undefined) yard.task.withdrawnMs ??= nowMs
      return yard.task?.withdrawnMs !== undefined && nowMs - yard.task.withdrawnMs >= spreadMs
    }
    const stamp = copy.stampOf(`binding/${yard.name}`)
    for (const [seat] of copy.under('seat/')) {
      const tally = this.#planner.tallies.get(seat)
      const heardMs = Math.max(tally?.heardMs ?? -Infinity, this.#beganMs)
      if (nowMs - heardMs > 2 * this.#timings.leaseMs) continue
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
