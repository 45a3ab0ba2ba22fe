/**
 * The placement scheduler, run by the node that holds the dispatcher duty. On each tick it brings its inventory of servers up to
 * date, settles orders by reports, plans what is to be loaded and evicted, and issues orders. An order is put to the log under the
 * epoch before it is sent, one at a time for a server, and its memory stays reserved until a report made afterwards has settled it.
 */
import { z } from 'zod'
import type { Order } from '../common/Order.js'
import { Order as OrderSchema } from '../common/Order.js'
import type { Timings } from '../common/Timings.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Report } from '../common/Report.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'
import { AvailabilityEstimate } from './AvailabilityEstimate.js'
import { Bucket } from './Bucket.js'
import { Demand } from './Demand.js'
import type { DispatcherOut } from './DispatcherOut.js'
import { keyOf } from './keyOf.js'
import { OrderFigures } from './OrderFigures.js'
import { OrderReasons } from './OrderReasons.js'
import type { PlacementFigures } from './PlacementFigures.js'
import { PlacementInvariants } from './PlacementInvariants.js'
import type { Placer } from './Placer.js'
import { Planner } from './Planner.js'
import type { Policy } from './Policy.js'
import { summaryOf } from './summaryOf.js'
import type { Tally } from './Tally.js'
import type { Want } from './Want.js'
import { ModelServer } from './ModelServer.js'
import { ServerInventory } from './ServerInventory.js'

const SavedOrder = z.object({ order: OrderSchema, incarnation: z.string() })
const loadsMs = 100
/** In a network: how old a list's word on holdings is, how old a report's is, and how soon a binding is known everywhere. */
const listLagMs = 800
const reportLagMs = 500
const spreadMs = 30
/** Until a server's reports tell of an adapter that it attaches, to begin with; what is seen corrects it. */
const attachAskMs = 50
const attachWeight = 0.3
const attachEarlyRatio = 0.9
const unloadAskMs = 100
const refusedMs = 100
/** What withdrawing and unloading a model usually takes. */
const makesWayMs = 200
const againMs = 60
const followsMs = 3000
/** How often the placement says in the log what it cannot place. */
const summaryMs = 1000
/** From when on it warns of it, and how often. */
const lastsMs = 5000
const warningMs = 3000

export class Dispatcher {
  readonly #timings: Timings
  readonly #epoch: number
  readonly #beganMs: number
  readonly #inventory: ServerInventory
  readonly #planner: Planner
  readonly #demand: Demand
  readonly #invariants: PlacementInvariants
  readonly #bucket: Bucket
  readonly #estimate: AvailabilityEstimate
  readonly #reasons = new OrderReasons()
  #deafSinceMs: number | undefined
  #loads: { atMs: number; counts: { key: string; count: number }[] } = { atMs: -Infinity, counts: [] }
  #number = 0
  #tickedMs: number
  #summarizedMs = -Infinity
  #loadsStarted = 0
  #loadsDone = 0
  #unloadsStarted = 0
  #attachSeenMs = attachAskMs / attachEarlyRatio

  constructor(timings: Timings, epoch: number, first: boolean, policy: Policy, nowMs: number) {
    this.#timings = timings
    this.#epoch = epoch
    this.#beganMs = nowMs
    this.#tickedMs = nowMs
    this.#inventory = new ServerInventory(timings, epoch, first, nowMs)
    this.#planner = new Planner(timings, policy, this.#inventory)
    this.#demand = new Demand(timings, policy, this.#inventory, this.#planner.tallies, nowMs)
    this.#invariants = new PlacementInvariants(this.#inventory, this.#demand)
    this.#bucket = new Bucket(nowMs)
    this.#estimate = new AvailabilityEstimate(timings, this.#inventory, this.#bucket, () => this.#placer)
  }

  get #placer(): Placer {
    return this.#counts ? this.#demand : this.#planner
  }

  get #counts(): boolean {
    return this.#inventory.fleet?.counts === true
  }

  get epoch(): number {
    return this.#epoch
  }

  get reasons(): OrderReasons['all'] {
    return this.#reasons.all
  }

  /** Wanted and not to be had anywhere yet: what operators see as out of room. */
  get unmet(): readonly { model: string; adapter: string; why: string }[] {
    return this.#placer.wants
      .filter((want) => want.kind === 'held' && !this.#inventory.coming(want.model, want.adapter))
      .map(({ model, adapter, why }) => ({ model, adapter, why }))
  }

  /** Figures of a placement on servers that count their orders; the product's own planner keeps none. */
  get figures(): PlacementFigures | undefined {
    if (!this.#counts) return undefined
    const nowMs = this.#tickedMs
    const { wants, unmet, copies } = this.#demand
    const wanted = (...kinds: Want['kind'][]) => wants.filter((want) => kinds.includes(want.kind)).length
    const doing = (...kinds: Order['kind'][]) =>
      this.#inventory.all.filter(({ task }) => task !== undefined && kinds.includes(task.order.kind)).length
    return {
      wantsHeld: wanted('held'),
      wantsBusy: wanted('busy'),
      wantsForecast: wanted('forecast', 'hours'),
      wantsSpare: wanted('spare'),
      modelsHeldNowhere: unmet.size,
      oldestUnmetWantMs: unmet.oldestMs(nowMs),
      unmetComing: unmet.count('coming'),
      unmetNoIdleServer: unmet.count('noIdleServer'),
      unmetNoVictim: unmet.count('noVictim'),
      unmetStorePace: unmet.count('storePace'),
      unmetStoreConcurrency: unmet.count('storeConcurrency'),
      firstCopies: copies.first,
      furtherCopies: copies.further,
      serversIdle: this.#inventory.all.filter(({ task, open }) => open && task === undefined).length,
      serversUnloading: doing('unload', 'detach'),
      serversLoading: doing('load'),
      serversAttaching: doing('attach'),
      loadsStarted: this.#loadsStarted,
      loadsDone: this.#loadsDone,
      unloadsStarted: this.#unloadsStarted,
      invariantViolations: this.#invariants.violations,
    }
  }

  get orderFigures(): OrderFigures {
    return OrderFigures.of(this.#inventory.all, this.#reasons.counts)
  }

  /** While something that was asked for is held nowhere, a line for the log that tells why; a warning where that lasts. */
  #summarize(out: DispatcherOut, nowMs: number): void {
    const { unmet } = this.#demand
    if (!this.#counts || unmet.size === 0) return
    const lasts = unmet.oldestMs(nowMs) > lastsMs
    if (nowMs - this.#summarizedMs < (lasts ? warningMs : summaryMs)) return
    this.#summarizedMs = nowMs
    const { figures } = this
    if (figures !== undefined) (lasts ? out.warns : out.says).push(summaryOf(figures))
  }

  /** True once most servers have been silent for long: another core machine may hear them. */
  deaf(nowMs: number): boolean {
    if (!this.#inventory.deaf(nowMs)) this.#deafSinceMs = undefined
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
    const placers = this.#inventory.fleet === undefined ? [this.#planner, this.#demand] : [this.#placer]
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
  outlook(held: readonly { model: string; adapter: string }[], nowMs: number): ReturnType<AvailabilityEstimate['of']> {
    return this.#estimate.of(held, nowMs)
  }

  reported(server: string, report: Report | undefined, askedMs: number, nowMs: number): void {
    this.#inventory.reported(server, report, askedMs, nowMs)
  }

  /** The platform's list with what servers hold, as of `lagMs` before it was asked for. */
  listed(servers: readonly PlatformServer[], askedMs: number, nowMs: number, lagMs = listLagMs): void {
    this.#inventory.listed(servers, askedMs - lagMs, lagMs, nowMs)
  }

  replied(server: string, number: number, reply: 'accepted' | 'turnedAway' | 'unknown' | 'held', nowMs: number): void {
    const modelServer = this.#inventory.get(server)
    if (modelServer?.task === undefined || modelServer.task.order.number !== number || modelServer.task.phase !== 'sent') return
    if (this.#counts) {
      this.#repliedCounting(modelServer, reply, nowMs)
      return
    }
    if (reply === 'turnedAway') {
      this.#reasons.add(modelServer.name, modelServer.task.order, 'the server turned it away', nowMs)
      this.#drop(modelServer, nowMs, false, false)
    }
  }

  /** A load that was taken has begun, so the store's pace counts from then; what was refused or done already is read again first. */
  #repliedCounting(modelServer: ModelServer, reply: 'accepted' | 'turnedAway' | 'unknown' | 'held', nowMs: number): void {
    const { task } = modelServer
    if (task === undefined) return
    if (reply === 'accepted') {
      if (task.takenMs === undefined) this.#giveBack(modelServer, true, nowMs)
      task.takenMs ??= nowMs
      if (task.order.epoch === this.#epoch) this.#takenAway(modelServer, task.order, nowMs)
    } else if (reply === 'unknown') task.unansweredMs ??= nowMs
    else if (reply === 'turnedAway' && nowMs - modelServer.leavingMs < followsMs) {
      task.againMs = Math.min(4 * againMs, 2 * (task.againMs ?? againMs / 2))
      task.sendAtMs = nowMs + task.againMs
    } else {
      this.#reasons.add(modelServer.name, task.order, reply === 'held' ? 'it was so already' : 'the server turned it away', nowMs)
      this.#drop(modelServer, nowMs, false, false)
      modelServer.sequence = undefined
      modelServer.askedMs = -Infinity
    }
  }

  /**
   * A server carries out one order at a time and turns the next away until then. So what it has agreed to let
   * go is gone for whoever comes next: the load that follows is sent at once, and again while it is turned away.
   */
  #takenAway(modelServer: ModelServer, order: Order, nowMs: number): void {
    const { report } = modelServer
    if (report === undefined || order.expected === undefined || (order.kind !== 'unload' && order.kind !== 'detach')) return
    const whole = order.kind === 'unload'
    modelServer.report = {
      ...report,
      models: whole ? report.models.filter((one) => one.model !== order.model) : report.models,
      adapters: report.adapters.filter((one) => one.model !== order.model || (!whole && one.adapter !== order.adapter)),
      askedMs: nowMs,
      sequence: order.expected + 1,
      busy: false,
    }
    modelServer.sequence = order.expected + 1
    modelServer.leavingMs = nowMs
    this.#reasons.add(modelServer.name, order, 'agreed to', nowMs)
    this.#drop(modelServer, nowMs, true)
  }

  tick(copy: ReplicaTable, sure: boolean, hour: number, nowMs: number): DispatcherOut {
    const out: DispatcherOut = { rows: [], asks: [], orders: [], says: [], warns: [] }
    this.#tickedMs = nowMs
    const joins = (modelServer: ModelServer) => {
      this.#adoptOrder(modelServer, copy, nowMs)
    }
    this.#inventory.census(copy, nowMs, joins, (modelServer) => {
      this.#drop(modelServer, nowMs)
    })
    if (this.#inventory.fleet === undefined) return out
    this.#inventory.read(out, (modelServer) => this.#settlesInMs(modelServer), nowMs)
    this.#settle(copy, out, nowMs)
    this.#inventory.bind(copy, out, nowMs)
    if (sure) {
      this.#placer.tick(hour, nowMs)
      this.#order(copy, out, nowMs)
      if (this.#counts) out.warns.push(...this.#invariants.check(this.#loadsStarted, nowMs))
      this.#summarize(out, nowMs)
    }
    return out
  }

  /** An order of an earlier epoch that is not known to have ended keeps its room. */
  #adoptOrder(modelServer: ModelServer, copy: ReplicaTable, nowMs: number): void {
    const value = copy.get(`order/${modelServer.name}`)
    if (value === undefined) return
    const saved = SavedOrder.parse(JSON.parse(value))
    this.#bucket.inherit(this.#inventory.fleet?.store.draw(saved.order) ?? 0)
    modelServer.task = { order: saved.order, phase: 'sent', sinceMs: nowMs, sentMs: nowMs, incarnation: saved.incarnation }
  }

  #settle(copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    for (const modelServer of this.#inventory.all) {
      const { task } = modelServer
      if (task === undefined || task.phase !== 'sent') {
        if (task === undefined && copy.get(`order/${modelServer.name}`) !== undefined)
          this.#inventory.publish(out, copy, `order/${modelServer.name}`, undefined, nowMs)
        continue
      }
      if (this.#counts) {
        this.#settleCounting(modelServer, task, nowMs)
        continue
      }
      if (!this.#inventory.known(modelServer, nowMs) || modelServer.report.askedMs <= task.sentMs) continue
      const { order } = task
      const seen = modelServer.report.order
      const same = seen?.epoch === order.epoch && seen.number === order.number
      if (modelServer.report.incarnation !== task.incarnation || (same && seen.state !== 'running')) {
        const done = same && seen.state === 'done'
        if (done && order.kind === 'load' && task.order.epoch === this.#epoch)
          this.#planner.learn(order.model, modelServer.report.heardMs - task.sentMs)
        this.#reasons.add(
          modelServer.name,
          order,
          done ? 'done' : modelServer.report.incarnation !== task.incarnation ? 'the server restarted' : 'the server could not',
          nowMs,
        )
        this.#drop(modelServer, nowMs, done)
      } else if (
        !same &&
        (order.epoch !== this.#epoch || (seen !== undefined && seen.epoch === order.epoch && seen.number > order.number))
      ) {
        this.#reasons.add(modelServer.name, order, 'never reached the server', nowMs)
        this.#drop(modelServer, nowMs, false, false)
      }
    }
  }

  #drop(modelServer: ModelServer, nowMs: number, done = false, mayHaveDrawn = true): void {
    if (modelServer.task?.takenMs === undefined) this.#giveBack(modelServer, mayHaveDrawn, nowMs)
    this.#inventory.turn += 1
    modelServer.settledMs = nowMs
    modelServer.task = undefined
    if (done) return
    modelServer.plan = undefined
    modelServer.backoffUntilMs = nowMs + (this.#counts ? refusedMs : this.#timings.reportMs)
  }

  #giveBack(modelServer: ModelServer, mayHaveDrawn: boolean, nowMs: number): void {
    const store = this.#inventory.fleet?.store
    if (store === undefined || modelServer.task === undefined) return
    const { order } = modelServer.task
    const drawn = store.draw(order)
    if (drawn > 0 || (!this.#counts && (order.kind === 'load' || order.kind === 'attach')))
      this.#bucket.settle(drawn, mayHaveDrawn, store.perS, store.burst, modelServer.task.sentMs, nowMs)
  }

  /** When reading a server that counts its orders is first likely to show the order done. */
  #settlesInMs({ task }: ModelServer): number {
    const order = task?.order
    if (order === undefined) return 0
    return order.kind === 'load'
      ? 0.8 * this.#demand.thetaMs(order.model)
      : order.kind === 'unload'
        ? unloadAskMs
        : attachEarlyRatio * this.#attachSeenMs
  }

  /**
   * An order is settled by a report that counts it and is not busy; one that no answer told of, by a report
   * that surely was made after it and does not count it; else by time, and then the server is read anew.
   */
  #settleCounting(modelServer: ModelServer, task: NonNullable<ModelServer['task']>, nowMs: number): void {
    const { report } = modelServer
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
        if (done && order.kind === 'load') this.#loadsDone += 1
        if (done && order.kind === 'attach' && task.takenMs !== undefined)
          this.#attachSeenMs += attachWeight * (report.askedMs - task.takenMs - this.#attachSeenMs)
        if (done && order.kind === 'load' && order.epoch === this.#epoch) this.#demand.learn(order.model, report.heardMs - task.sentMs)
        this.#reasons.add(modelServer.name, order, done ? 'done' : 'the server could not', nowMs)
        this.#drop(modelServer, nowMs, done)
        return
      }
      if (unansweredMs !== undefined && report.askedMs > unansweredMs + reportLagMs) {
        this.#reasons.add(modelServer.name, order, 'never reached the server', nowMs)
        this.#drop(modelServer, nowMs)
        return
      }
    }
    if (nowMs - task.sentMs <= Math.max(this.#timings.orderMs, 4 * this.#demand.thetaMs(order.model))) return
    this.#reasons.add(modelServer.name, order, 'not known to have ended; the server is read anew', nowMs)
    this.#drop(modelServer, nowMs)
    modelServer.sequence = undefined
  }

  #order(copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    for (const modelServer of this.#planned()) this.#next(modelServer, nowMs)
    for (const modelServer of this.#inventory.all) {
      const { task } = modelServer
      if (task === undefined || task.order.epoch !== this.#epoch) continue
      if (task.phase === 'withdrawing') {
        if (this.#withdrawn(modelServer, task.order, copy, nowMs)) task.phase = 'proposed'
        else if (nowMs - task.sinceMs > this.#timings.orderMs) {
          this.#reasons.add(modelServer.name, task.order, 'streams in flight outlasted the wait', nowMs)
          this.#drop(modelServer, nowMs)
          continue
        }
      }
      if (task.phase === 'proposed') {
        const saved = JSON.stringify({ order: task.order, incarnation: task.incarnation })
        if (copy.get(`order/${modelServer.name}`) !== saved) this.#inventory.publish(out, copy, `order/${modelServer.name}`, saved, nowMs)
        else this.#send(modelServer, out, nowMs)
      } else if (this.#counts && task.phase === 'sent' && task.sendAtMs !== undefined && nowMs >= task.sendAtMs) {
        delete task.sendAtMs
        this.#send(modelServer, out, nowMs)
      } else if (
        !this.#counts &&
        task.phase === 'sent' &&
        nowMs - task.sentMs > this.#timings.orderMs / 8 &&
        this.#inventory.known(modelServer, nowMs) &&
        modelServer.report.askedMs > task.sentMs
      ) {
        const seen = modelServer.report.order
        if (seen?.epoch === task.order.epoch && seen.number >= task.order.number) continue
        if (modelServer.report.epoch !== undefined) this.#send(modelServer, out, nowMs)
        else if (nowMs - task.sentMs > this.#timings.orderMs) {
          this.#reasons.add(modelServer.name, task.order, 'never reached the server, which cannot tell a late copy', nowMs)
          this.#drop(modelServer, nowMs)
        }
      }
    }
  }

  /** Servers whose next order is due, the oldest plan first: else those early in the table would take all that the store gives. */
  #planned(): ModelServer[] {
    const planned = this.#inventory.all.filter(({ task, plan }) => task === undefined && plan !== undefined)
    return planned.sort((a, b) => (a.plan?.sinceMs ?? 0) - (b.plan?.sinceMs ?? 0))
  }

  #send(modelServer: ModelServer, out: DispatcherOut, nowMs: number): void {
    if (modelServer.task === undefined) return
    modelServer.task.phase = 'sent'
    modelServer.task.sentMs = nowMs
    out.orders.push({ server: modelServer.name, address: modelServer.address, order: modelServer.task.order })
  }

  /** Takes the next step of a plan: a victim's unload while there is one, then the load itself. */
  #next(modelServer: ModelServer, nowMs: number): void {
    const { plan } = modelServer
    if (plan === undefined || !this.#inventory.known(modelServer, nowMs) || nowMs < modelServer.backoffUntilMs) return
    if (this.#counts && modelServer.sequence === undefined) return
    if (plan.victims.length > 0 && plan.adapter === '' && !this.#mayLoadSoon(plan.model, nowMs)) return
    const victim = plan.victims.shift()
    if (victim !== undefined) {
      const [model = '', adapter = ''] = victim.split('/')
      if (!this.#placer.stillMakesWay(modelServer, victim, adapter !== '', plan.relaxed, nowMs)) {
        modelServer.plan = undefined
        return
      }
      this.#begin(
        modelServer,
        adapter === '' ? 'unload' : 'detach',
        model,
        adapter,
        0,
        `makes way for ${keyOf(plan.model, plan.adapter)}: ${plan.why}`,
        nowMs,
      )
      return
    }
    const model = this.#inventory.planOf(plan.model)
    const { fleet } = this.#inventory
    if (model === undefined || fleet === undefined) {
      modelServer.plan = undefined
      return
    }
    const attach = plan.adapter !== ''
    const fits = attach
      ? ModelServer.freePlaces(modelServer) >= 1 && (!this.#counts || ModelServer.freeMb(modelServer) >= model.adapterMb)
      : ModelServer.freeMb(modelServer) >= model.sizeMb
    const there = this.#counts && ModelServer.holds(modelServer, plan.model, plan.adapter)
    if (!fits || !modelServer.open || there || (attach && this.#counts && !ModelServer.holds(modelServer, plan.model, ''))) {
      modelServer.plan = undefined
      return
    }
    const { store } = fleet
    const kind = attach ? 'attach' : 'load'
    const sizeMb = attach ? model.adapterMb : model.sizeMb
    const wanted = keyOf(plan.model, plan.adapter)
    if (kind === 'load' && this.#loading(nowMs) >= store.atOnce) {
      this.#demand.unmet.blocked(wanted, 'storeConcurrency')
      return
    }
    const drawn = store.draw({ kind, sizeMb })
    if ((drawn > 0 || !this.#counts) && !this.#bucket.reserve(drawn, store.perS, store.burst, nowMs)) {
      this.#demand.unmet.blocked(wanted, 'storePace')
      return
    }
    this.#begin(modelServer, kind, plan.model, plan.adapter, sizeMb, plan.why, nowMs)
    modelServer.plan = undefined
  }

  /** True if the store will likely let a load begin once what is to make way for it is gone, after those that are as far. */
  #mayLoadSoon(model: string, nowMs: number): boolean {
    const { fleet } = this.#inventory
    if (!this.#counts || fleet === undefined) return true
    const { perS, burst, atOnce } = fleet.store
    const ahead = this.#inventory.all.filter(({ task, plan }) => {
      if (plan === undefined || plan.adapter !== '') return false
      return task === undefined ? plan.victims.length === 0 : task.order.kind === 'unload'
    }).length
    if (this.#loading(nowMs + makesWayMs) + ahead >= atOnce) {
      this.#demand.unmet.blocked(model, 'storeConcurrency')
      return false
    }
    if (this.#bucket.bearsInMs(ahead + 1, perS, burst, nowMs) <= makesWayMs) return true
    this.#demand.unmet.blocked(model, 'storePace')
    return false
  }

  /** Loads that the store is giving now: what was taken a load's time ago is there, though no report has told so yet. */
  #loading(nowMs: number): number {
    return this.#inventory.all.filter(({ task }) => {
      if (task?.order.kind !== 'load') return false
      const loadMs = this.#counts ? (this.#inventory.planOf(task.order.model)?.loadMs ?? Infinity) : Infinity
      return task.takenMs === undefined || nowMs - task.takenMs < loadMs
    }).length
  }

  #begin(modelServer: ModelServer, kind: Order['kind'], model: string, adapter: string, sizeMb: number, why: string, nowMs: number): void {
    this.#number += 1
    const order: Order = {
      epoch: this.#epoch,
      number: this.#number,
      kind,
      model,
      adapter,
      sizeMb,
      ...(modelServer.sequence === undefined ? {} : { expected: modelServer.sequence }),
    }
    const takesAway = kind === 'unload' || kind === 'detach'
    if (kind === 'load') this.#loadsStarted += 1
    if (kind === 'unload') this.#unloadsStarted += 1
    modelServer.task = {
      order,
      phase: takesAway ? 'withdrawing' : 'proposed',
      sinceMs: nowMs,
      sentMs: 0,
      incarnation: modelServer.report?.incarnation ?? '',
    }
    this.#inventory.turn += 1
    this.#reasons.add(modelServer.name, order, why, nowMs)
  }

  /** True once no proxy can be using what is to go: each has adopted the binding without it and counts none in flight, or surely stopped. */
  #withdrawn(modelServer: ModelServer, order: Order, copy: ReplicaTable, nowMs: number): boolean {
    const value = copy.get(`binding/${modelServer.name}`)
    if (value !== undefined) {
      const holds: unknown = JSON.parse(value)
      const binding = z.object({ models: z.array(z.string()), adapters: z.array(z.string()) }).parse(holds)
      if (order.adapter === '' ? binding.models.includes(order.model) : binding.adapters.includes(keyOf(order.model, order.adapter)))
        return false
    }
    if (this.#counts) {
      if (modelServer.task !== undefined) modelServer.task.withdrawnMs ??= nowMs
      return modelServer.task?.withdrawnMs !== undefined && nowMs - modelServer.task.withdrawnMs >= spreadMs
    }
    const stamp = copy.stampOf(`binding/${modelServer.name}`)
    for (const [seat] of copy.under('seat/')) {
      const tally = this.#planner.tallies.get(seat)
      const heardMs = Math.max(tally?.heardMs ?? -Infinity, this.#beganMs)
      if (nowMs - heardMs > 2 * this.#timings.leaseMs) continue
      if (tally === undefined || tally.adopted < stamp) return false
      if (
        tally.flights.some(
          (one) =>
            one.server === modelServer.name &&
            one.model === order.model &&
            (order.adapter === '' || one.adapter === order.adapter) &&
            one.count > 0,
        )
      )
        return false
    }
    const { report } = modelServer
    if (report === undefined || report.askedMs <= (modelServer.task?.sinceMs ?? 0)) return false
    return order.adapter === ''
      ? report.models.every((one) => one.model !== order.model || one.flights === 0)
      : report.adapters.every((one) => one.model !== order.model || one.adapter !== order.adapter || one.flights === 0)
  }
}
