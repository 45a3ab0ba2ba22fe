/**
 * What is wanted where: the wants of a moment out of tallies, forecasts, hours and zones, and for each the
 * server that takes it with the least harm. The ordinary path is the paper's, by its three rules. When
 * nothing fits there, a copy that another server holds too makes way first; only a request that would be
 * lost by its due goes on to the last resort.
 */
import type { Timings } from '../common/Timings.js'
import { keyOf } from './keyOf.js'
import type { ModelPlan } from './ModelPlan.js'
import type { Policy } from './Policy.js'
import { Predictor } from './Predictor.js'
import type { Tally } from './Tally.js'
import type { Relaxation } from './Relaxation.js'
import type { ResidentModel } from './ResidentModel.js'
import type { Want } from './Want.js'
import { ModelServer } from './ModelServer.js'
import type { ServerInventory } from './ServerInventory.js'

const spareFrom = 4
const unforeseenMs = 24 * 3_600_000

export class Planner {
  readonly tallies = new Map<string, Tally>()
  readonly #timings: Timings
  readonly #policy: Policy
  readonly #inventory: ServerInventory
  readonly #predictor = new Predictor()
  readonly #loadMs = new Map<string, number>()
  #wants: readonly Want[] = []

  constructor(timings: Timings, policy: Policy, inventory: ServerInventory) {
    this.#timings = timings
    this.#policy = policy
    this.#inventory = inventory
  }

  /** The wants of the last tick, first things first. */
  get wants(): readonly Want[] {
    return this.#wants
  }

  arrived(model: string, adapter: string, count: number, atMs: number): void {
    this.#predictor.arrived(model, count, atMs)
    if (adapter !== '') this.#predictor.arrived(keyOf(model, adapter), count, atMs)
  }

  learn(model: string, tookMs: number): void {
    const old = this.#loadMs.get(model)
    this.#loadMs.set(model, old === undefined ? tookMs : old + 0.3 * (tookMs - old))
  }

  thetaMs(model: string, sizeMb: number): number {
    return this.#loadMs.get(model) ?? (1000 * sizeMb) / (this.#inventory.fleet?.store.perS ?? 1)
  }

  tick(hour: number, nowMs: number): void {
    this.#wants = this.#count(hour, nowMs)
    this.#plan(nowMs)
  }

  #held(nowMs: number): Map<string, number> {
    const held = new Map<string, number>()
    for (const tally of this.tallies.values()) {
      if (nowMs - tally.heardMs > this.#timings.leaseMs) continue
      for (const one of tally.held) {
        const key = keyOf(one.model, one.adapter)
        held.set(key, Math.min(held.get(key) ?? Infinity, one.dueInMs))
      }
    }
    return held
  }

  /** The models and adapters that some request waits for, or whose window is open and that no open server holds, or that want a spare. */
  #count(hour: number, nowMs: number): Want[] {
    const { fleet } = this.#inventory
    if (fleet === undefined) return []
    const held = this.#held(nowMs)
    const open = this.#inventory.all.filter((modelServer) => modelServer.open)
    const wants: Want[] = []
    for (const plan of fleet.models) {
      const { key: model, owner: partner, intent } = plan
      const inHours = intent.hours.some((span) =>
        span.from <= span.to ? hour >= span.from && hour < span.to : hour >= span.from || hour < span.to,
      )
      for (const adapter of ['', ...plan.adapters]) {
        const copies = open.filter((modelServer) => ModelServer.holds(modelServer, model, adapter))
        const dueInMs = held.get(keyOf(model, adapter))
        const forecast = this.#predictor.forecast(keyOf(model, adapter), nowMs)
        const urgency = intent.weight * (1 + intent.coldStartCost)
        const base = { model, adapter, partner, urgency, dueInMs: Infinity, nextMs: nowMs, deltaMs: forecast?.deltaMs ?? 0, zones: [] }
        if (dueInMs !== undefined && (copies.length === 0 || this.#crowded(copies, model))) {
          wants.push({
            ...base,
            kind: 'held',
            dueInMs,
            why: copies.length === 0 ? 'a request waits' : 'requests wait although a copy is there',
          })
        } else if (!this.#policy.foresees) continue
        else if (copies.length === 0 && forecast !== undefined && this.#opens(forecast, model, plan.sizeMb, nowMs)) {
          wants.push({ ...base, kind: 'forecast', nextMs: forecast.nextMs, why: 'a request is forecast' })
        } else if (copies.length === 0 && inHours && adapter === '') {
          wants.push({ ...base, kind: 'hours', why: 'its partner wants it in these hours' })
        } else if (copies.length > 0 && this.#dear(model, adapter, urgency, nowMs)) {
          const zones = [...new Set(copies.map((modelServer) => modelServer.zone))]
          if (zones.length === 1) wants.push({ ...base, kind: 'spare', zones, why: 'a spare in another zone' })
        }
      }
    }
    const rank = { busy: 4, held: 3, forecast: 2, hours: 2, spare: 1 }
    return wants.sort((a, b) => rank[b.kind] - rank[a.kind] || b.urgency - a.urgency || a.nextMs - b.nextMs)
  }

  #opens(forecast: { nextMs: number; deltaMs: number }, model: string, sizeMb: number, nowMs: number): boolean {
    return nowMs >= forecast.nextMs - forecast.deltaMs - this.thetaMs(model, sizeMb) && nowMs <= forecast.nextMs + forecast.deltaMs
  }

  /** Dear to lose: what its partner's intent makes of the requests that would come within the bound of recovery. */
  #dear(model: string, adapter: string, urgency: number, nowMs: number): boolean {
    return urgency * this.#predictor.rate(keyOf(model, adapter), nowMs) * this.#timings.recoverMs >= spareFrom
  }

  /** A further copy is wanted only once the copies that exist have been there for a while and none is on its way. */
  #crowded(copies: readonly ModelServer[], model: string): boolean {
    return (
      !this.#inventory.coming(model, '') &&
      copies.every((modelServer) => (modelServer.report?.models.find((one) => one.model === model)?.flights ?? 0) > 0)
    )
  }

  #plan(nowMs: number): void {
    const { fleet } = this.#inventory
    if (fleet === undefined) return
    const live = new Set(this.#wants.map((want) => keyOf(want.model, want.adapter)))
    for (const modelServer of this.#inventory.all) {
      if (
        modelServer.plan !== undefined &&
        modelServer.task === undefined &&
        !live.has(keyOf(modelServer.plan.model, modelServer.plan.adapter))
      )
        modelServer.plan = undefined
    }
    for (const want of this.#wants) {
      const plan = fleet.model(want.model)
      if (plan === undefined || this.#inventory.coming(want.model, want.adapter)) continue
      this.#place(want, plan, nowMs)
    }
  }

  #place(want: Want, plan: ModelPlan, nowMs: number): void {
    const may = (modelServer: ModelServer) =>
      modelServer.open && modelServer.task === undefined && modelServer.plan === undefined && nowMs >= modelServer.backoffUntilMs
    const free = this.#inventory.all.filter(
      (modelServer) =>
        may(modelServer) &&
        this.#inventory.known(modelServer, nowMs) &&
        (plan.servers?.includes(modelServer.name) ?? true) &&
        !want.zones.includes(modelServer.zone),
    )
    const withModel = free.filter((modelServer) => ModelServer.holds(modelServer, want.model, ''))
    const held = this.#inventory.all.some(
      (modelServer) => modelServer.open && !want.zones.includes(modelServer.zone) && ModelServer.holds(modelServer, want.model, ''),
    )
    const attach = want.adapter !== '' && held
    const fitting = attach
      ? withModel.filter((modelServer) => !ModelServer.holds(modelServer, want.model, want.adapter))
      : free.filter(
          (modelServer) =>
            !withModel.includes(modelServer) && modelServer.roomMb >= plan.sizeMb && (want.adapter === '' || modelServer.places > 0),
        )
    const step = attach ? want : { ...want, adapter: '' }
    const size = attach ? 1 : plan.sizeMb
    if (want.kind === 'spare' && !this.#sparing(want, attach, plan.sizeMb)) return
    if (this.#choose(step, fitting, size, 'nothing', nowMs) || want.kind === 'spare') return
    if (this.#choose(step, fitting, size, 'spares', nowMs)) return
    if (want.dueInMs > this.#timings.makeRoomMs + 2 * this.thetaMs(want.model, plan.sizeMb)) return
    for (const relaxed of ['history', 'overlap', 'doubles'] as const) if (this.#choose(step, fitting, size, relaxed, nowMs)) return
  }

  /** A spare comes last: one at a time, when nothing else is wanted, and only where it leaves room for the largest model. */
  #sparing(want: Want, attach: boolean, sizeMb: number): boolean {
    if (want.adapter !== '') return attach
    if (
      this.#wants.some((one) => one.kind !== 'spare') ||
      this.#inventory.all.some((modelServer) => modelServer.task !== undefined || modelServer.plan !== undefined)
    )
      return false
    const largest = Math.max(...(this.#inventory.fleet?.models ?? []).map((one) => one.sizeMb))
    const holes = this.#inventory.all.filter((modelServer) => modelServer.open).map((modelServer) => ModelServer.freeMb(modelServer))
    const after = holes.sort((a, b) => b - a).map((free, at) => (at === 0 ? free - sizeMb : free))
    return after.some((free) => free >= largest)
  }

  #choose(want: Want, modelServers: readonly ModelServer[], size: number, relaxed: Relaxation, nowMs: number): boolean {
    let best: { modelServer: ModelServer; victims: string[]; rank: number } | undefined
    const newcomer = { nextMs: want.nextMs, windowFromMs: want.nextMs - want.deltaMs, windowToMs: want.nextMs + want.deltaMs, size }
    for (const modelServer of modelServers) {
      const free = want.adapter === '' ? ModelServer.freeMb(modelServer) : ModelServer.freePlaces(modelServer)
      const residents =
        want.kind === 'spare' ? [] : this.residents(modelServer, want.adapter !== '', nowMs).filter((one) => one.key !== want.model)
      const victims = this.#policy.evict(newcomer, residents, free, this.#predictor.historyMs, nowMs, relaxed)
      if (victims === undefined) continue
      const lowest = Math.min(...victims.map((one) => one.score))
      const rank = victims.length === 0 ? 2 + free / 1e9 : lowest
      if (best === undefined || rank > best.rank) best = { modelServer, victims: victims.map((one) => one.key), rank }
    }
    if (best === undefined) return false
    const why =
      relaxed === 'nothing'
        ? want.why
        : relaxed === 'spares'
          ? `${want.why}; a spare makes way`
          : `${want.why}; last resort, lets go of ${relaxed}`
    best.modelServer.plan = { model: want.model, adapter: want.adapter, victims: best.victims, why, relaxed, sinceMs: nowMs }
    return true
  }

  residents(modelServer: ModelServer, adapters: boolean, nowMs: number): ResidentModel[] {
    const { report } = modelServer
    if (report === undefined) return []
    const holds = adapters
      ? report.adapters.map((one) => ({ ...one, key: keyOf(one.model, one.adapter), size: 1, thetaMs: 0 }))
      : report.models.map((one) => ({
          ...one,
          adapter: '',
          key: one.model,
          size: one.sizeMb,
          thetaMs: this.thetaMs(one.model, one.sizeMb),
        }))
    return holds
      .filter((one) => one.state === 'loaded' && one.flights === 0)
      .map((one) => {
        const forecast = this.#predictor.forecast(one.key, nowMs) ?? { nextMs: nowMs + unforeseenMs, deltaMs: 0 }
        return {
          key: one.key,
          nextMs: forecast.nextMs,
          windowFromMs: forecast.nextMs - forecast.deltaMs - one.thetaMs,
          windowToMs: forecast.nextMs + forecast.deltaMs,
          lastMs: this.#predictor.lastMs(one.key),
          surprise: this.#predictor.surprise(one.key, forecast.deltaMs, nowMs),
          size: one.size,
          doubled: this.#inventory.all.some(
            (other) => other !== modelServer && other.open && ModelServer.holds(other, one.model, one.adapter),
          ),
        }
      })
  }

  /** Between the count and the enacting a victim may have been requested, or its window may have opened. */
  stillMakesWay(modelServer: ModelServer, key: string, adapters: boolean, relaxed: Relaxation, nowMs: number): boolean {
    const resident = this.residents(modelServer, adapters, nowMs).find((one) => one.key === key)
    if (resident === undefined) return false
    if (!this.#policy.foresees) return true
    if (relaxed === 'spares') return resident.doubled
    const outside = nowMs < resident.windowFromMs || nowMs > resident.windowToMs || (relaxed === 'doubles' && resident.doubled)
    return outside && (relaxed !== 'nothing' || nowMs - resident.lastMs > this.#predictor.historyMs)
  }
}
