/**
 * What is wanted where in a network: a copy for every request that waits, as many copies as the requests
 * at once call for, two in different zones for whatever is asked for steadily, and models ahead of their
 * forecast windows. A copy makes way by the three rules; then one beyond what its model needs; the last
 * resorts are for requests that wait. The wants are counted anew when something changed, or every 100 ms.
 */
import type { Mechanism } from '../common/Mechanism.js'
import type { Timings } from '../common/Timings.js'
import { keyOf } from './keyOf.js'
import { Load } from './Load.js'
import type { ModelPlan } from './ModelPlan.js'
import type { Placer } from './Placer.js'
import type { Policy } from './Policy.js'
import { Predictor } from './Predictor.js'
import type { Tally } from './Tally.js'
import type { Relaxation } from './Relaxation.js'
import type { ResidentModel } from './ResidentModel.js'
import type { Want } from './Want.js'
import { ModelServer } from './ModelServer.js'
import type { ServerInventory } from './ServerInventory.js'
import { UnmetDemand } from './UnmetDemand.js'

const countMs = 100
const unforeseenMs = 24 * 3_600_000
/** When a model that is no longer listed is asked for next: later than any that is listed, so that it makes way before them. */
const retiredMs = 10 * unforeseenMs
const forgetMs = 600_000
const steadyFromPerS = 0.3
const reserveRatio = 1.15
/** The part of a server's places that the requests of one copy may take. */
const bearsRatio = 0.6
/** A request that waits is not served at all without a load, one beyond what the copies bear is only slowed: it counts for less. */
const waitingWeight = 10
/** How long a copy that came for a request is left to it. */
const freshMs = 700
/** A copy is beyond need only where that many times the requests would still fit. */
const keptRatio = 1.5
/** In the last resort a copy makes way where those that stay bear the requests with nothing to spare. */
const spareRatio = 0.5
/** After so many loads' time without a copy it is a model's turn, whoever is inside a window. */
const turnLoads = 2
const adapterTurnMs = 1000
const rareRatio = 0.25
const crowdedMs = 400
/** Requests a second from which a missing copy goes before a request that waits for a rare model. */
const crowdPerS = 3
const settleInMs = 1000
const attachMs = 150
const copiesAtOnce = 4

export class Demand implements Placer {
  readonly #timings: Timings
  readonly #policy: Policy
  readonly #inventory: ServerInventory
  readonly #tallies: ReadonlyMap<string, Tally>
  readonly #beganMs: number
  readonly #predictor = new Predictor()
  readonly #loads = new Map<string, Load>()
  readonly #loadMs = new Map<string, number>()
  readonly #heldSinceMs = new Map<string, number>()
  readonly #adaptersOf = new Map<string, Set<string>>()
  #holders = new Map<string, ModelServer[]>()
  #busy = new Map<string, number>()
  #flights = new Map<string, number>()
  #capacities = new Map<string, number>()
  #historyMs = 0
  /** Since when each server holds what it holds, for what came under this epoch. */
  #sinceMs = new Map<string, number>()
  #surveyed = false
  /** What each server has held under this epoch: it loads that again from its own disk, sooner. */
  #onDisk = new Map<string, Set<string>>()
  #places = 1
  #wants: readonly Want[] = []
  readonly #unmet = new UnmetDemand()
  #countedMs = -Infinity
  #countedTurn = -1
  #urged = false
  #keptResidents: { atMs: number; turn: number; lists: Map<string, ResidentModel[]> } = { atMs: -Infinity, turn: -1, lists: new Map() }

  constructor(timings: Timings, policy: Policy, inventory: ServerInventory, tallies: ReadonlyMap<string, Tally>, nowMs: number) {
    this.#timings = timings
    this.#policy = policy
    this.#inventory = inventory
    this.#tallies = tallies
    this.#beganMs = nowMs
  }

  get wants(): readonly Want[] {
    return this.#wants
  }

  /** What was asked for while no server held it. */
  get unmet(): UnmetDemand {
    return this.#unmet
  }

  /** Models that some server holds, and the copies of them beyond each one's first. */
  get copies(): { first: number; further: number } {
    let first = 0
    let further = 0
    for (const [key, modelServers] of this.#holders) {
      if (key.includes('/')) continue
      first += 1
      further += modelServers.length - 1
    }
    return { first, further }
  }

  /** Counts at the next tick, as some request waits. */
  urge(): void {
    this.#urged = true
  }

  arrived(model: string, adapter: string, count: number, atMs: number): void {
    for (const key of adapter === '' ? [model] : [model, keyOf(model, adapter)]) {
      this.#predictor.arrived(key, count, atMs)
      this.#load(key, atMs).arrived(count, atMs)
    }
    const asked = keyOf(model, adapter)
    const isKnown = this.#inventory.planOf(model) !== undefined
    if (this.#surveyed && isKnown && !this.#holders.has(asked)) this.#unmet.asked(asked, count, atMs)
    if (adapter !== '') this.#adapterSet(model).add(adapter)
  }

  learn(model: string, tookMs: number): void {
    const old = this.#loadMs.get(model)
    this.#loadMs.set(model, old === undefined ? tookMs : old + 0.3 * (tookMs - old))
  }

  thetaMs(model: string): number {
    return this.#loadMs.get(model) ?? this.#inventory.planOf(model)?.loadMs ?? 1000
  }

  tick(_hour: number, nowMs: number): void {
    if (!this.#urged && this.#countedTurn === this.#inventory.turn && nowMs - this.#countedMs < countMs) return
    const open = this.#inventory.all.filter((modelServer) => modelServer.open)
    if (nowMs - this.#beganMs < settleInMs && open.some((modelServer) => modelServer.report === undefined)) return
    this.#urged = false
    this.#countedTurn = this.#inventory.turn
    this.#countedMs = nowMs
    this.#survey(open, nowMs)
    this.#keptResidents.lists.clear()
    this.#wants = this.#count(nowMs)
    this.#plan(nowMs)
  }

  /** What a server holds and may let go. What the configuration no longer lists makes way first, as nobody can ask for it. */
  residents(modelServer: ModelServer, adapters: boolean, nowMs: number, beyondNeed = false): ResidentModel[] {
    const { report } = modelServer
    if (report === undefined) return []
    const holds = adapters
      ? report.adapters.map((one) => ({ ...one, key: keyOf(one.model, one.adapter), size: 1 }))
      : report.models.map((one) => ({ ...one, adapter: '', key: one.model, size: one.sizeMb }))
    return holds
      .filter((one) => one.state === 'loaded' && !this.#inUse(modelServer, one.key, nowMs))
      .map((one) => {
        const isRetired = this.#inventory.planOf(one.model) === undefined
        const forecast = isRetired ? { nextMs: nowMs + retiredMs, deltaMs: 0 } : this.#forecast(one.key, nowMs)
        const others = (this.#holders.get(one.key) ?? []).filter(
          (other) => other !== modelServer && ModelServer.holds(other, one.model, one.adapter),
        )
        return {
          key: one.key,
          nextMs: forecast.nextMs,
          windowFromMs: forecast.nextMs - forecast.deltaMs - (adapters ? attachMs : this.thetaMs(one.model)),
          windowToMs: forecast.nextMs + forecast.deltaMs,
          lastMs: isRetired ? -Infinity : this.#predictor.lastMs(one.key),
          surprise: isRetired ? 0 : this.#predictor.surprise(one.key, forecast.deltaMs, nowMs),
          size: one.size,
          doubled:
            isRetired || others.length >= Math.max(1, Math.ceil(this.#needed(one.model, one.adapter, beyondNeed ? keptRatio : spareRatio))),
        }
      })
  }

  #forecast(key: string, nowMs: number): { nextMs: number; deltaMs: number } {
    return this.#predictor.forecast(key, nowMs) ?? { nextMs: nowMs + unforeseenMs, deltaMs: 0 }
  }

  /** What `residents` gives, kept until time passes or the servers are surveyed anew: many wants ask for it in one plan. */
  #residentsNow(modelServer: ModelServer, adapters: boolean, beyondNeed: boolean, nowMs: number): readonly ResidentModel[] {
    if (this.#keptResidents.atMs !== nowMs || this.#keptResidents.turn !== this.#inventory.turn)
      this.#keptResidents = { atMs: nowMs, turn: this.#inventory.turn, lists: new Map() }
    const key = `${modelServer.name} ${String(adapters)} ${String(beyondNeed)}`
    let kept = this.#keptResidents.lists.get(key)
    if (kept === undefined) {
      kept = this.residents(modelServer, adapters, nowMs, beyondNeed)
      this.#keptResidents.lists.set(key, kept)
    }
    return kept
  }

  /** Requests run or wait for it, or it has only just come. */
  #inUse(modelServer: ModelServer, key: string, nowMs: number): boolean {
    if ((this.#flights.get(`${modelServer.name} ${key}`) ?? 0) > 0 || this.#heldSinceMs.has(key)) return true
    return nowMs - (this.#sinceMs.get(`${modelServer.name} ${key}`) ?? -Infinity) < freshMs
  }

  stillMakesWay(modelServer: ModelServer, key: string, adapters: boolean, relaxed: Relaxation, nowMs: number): boolean {
    const resident = this.residents(modelServer, adapters, nowMs, relaxed === 'spares').find((one) => one.key === key)
    if (resident === undefined) return false
    if (!this.#policy.foresees) return true
    if (relaxed === 'spares') return resident.doubled
    if (relaxed === 'turns') return this.hadTheirTurn(modelServer, adapters, nowMs).some((one) => one.key === key)
    const outside = nowMs < resident.windowFromMs || nowMs > resident.windowToMs || (relaxed === 'doubles' && resident.doubled)
    return outside && (relaxed !== 'nothing' || nowMs - resident.lastMs > this.#predictor.historyMs)
  }

  #load(key: string, nowMs: number): Load {
    let load = this.#loads.get(key)
    if (load === undefined) {
      load = new Load(nowMs)
      this.#loads.set(key, load)
    }
    return load
  }

  #adapterSet(model: string): Set<string> {
    let known = this.#adaptersOf.get(model)
    if (known === undefined) {
      known = new Set()
      this.#adaptersOf.set(model, known)
    }
    return known
  }

  /** Who holds what, who is how busy, and how many requests each model has at once. */
  #survey(open: readonly ModelServer[], nowMs: number): void {
    this.#historyMs = this.#predictor.historyMs
    this.#holders = new Map()
    this.#capacities = new Map()
    this.#places = Math.max(1, ...open.map((modelServer) => modelServer.places))
    for (const modelServer of open) {
      const least = this.#capacities.get(modelServer.owner ?? '') ?? Infinity
      this.#capacities.set(modelServer.owner ?? '', Math.min(least, modelServer.capacity))
      const keys = (modelServer.report?.models ?? []).flatMap((one) => (ModelServer.holds(modelServer, one.model, '') ? [one.model] : []))
      for (const one of modelServer.report?.adapters ?? [])
        if (ModelServer.holds(modelServer, one.model, one.adapter)) keys.push(keyOf(one.model, one.adapter))
      for (const key of keys) {
        const found = this.#holders.get(key)
        if (found === undefined) this.#holders.set(key, [modelServer])
        else found.push(modelServer)
      }
    }
    const sinceMs = new Map<string, number>()
    for (const [key, modelServers] of this.#holders)
      for (const modelServer of modelServers)
        sinceMs.set(`${modelServer.name} ${key}`, this.#sinceMs.get(`${modelServer.name} ${key}`) ?? (this.#surveyed ? nowMs : -Infinity))
    this.#sinceMs = sinceMs
    for (const name of this.#onDisk.keys()) if (!open.some((modelServer) => modelServer.name === name)) this.#onDisk.delete(name)
    for (const modelServer of open) {
      const known = this.#onDisk.get(modelServer.name) ?? new Set<string>()
      this.#onDisk.set(modelServer.name, known)
      for (const one of modelServer.report?.models ?? []) known.add(one.model)
    }
    this.#surveyed = true
    this.#unmet.settle((key) => this.#holders.has(key), nowMs)
    this.#busy = new Map()
    this.#flights = new Map()
    const atOnce = new Map<string, number>()
    const add = (map: Map<string, number>, key: string, count: number) => map.set(key, (map.get(key) ?? 0) + count)
    for (const tally of this.#tallies.values()) {
      if (nowMs - tally.heardMs > this.#timings.leaseMs) continue
      for (const one of tally.flights) {
        add(this.#busy, one.server, one.count)
        for (const key of new Set([one.model, keyOf(one.model, one.adapter)])) {
          add(atOnce, key, one.count)
          add(this.#flights, `${one.server} ${key}`, one.count)
        }
      }
      for (const one of tally.held) for (const key of new Set([one.model, keyOf(one.model, one.adapter)])) add(atOnce, key, one.count)
    }
    for (const key of atOnce.keys()) this.#load(key, nowMs)
    for (const [key, load] of this.#loads) {
      const count = atOnce.get(key) ?? 0
      load.counted(count, nowMs)
      if (count === 0 && nowMs - load.lastMs > forgetMs) this.#loads.delete(key)
    }
  }

  /** Copies that the requests at once call for, two at least of what is asked for steadily; in the last resort only what bears them. */
  #needed(model: string, adapter: string, ratio: number): number {
    const steady = this.#has('zone-spares') && ratio > spareRatio && this.#isSteady(model, adapter, ratio)
    return Math.max(steady ? 2 : 1, this.#bearing(model, adapter, ratio))
  }

  #isSteady(model: string, adapter: string, ratio: number): boolean {
    const load = this.#loads.get(keyOf(model, adapter))
    if (load === undefined) return false
    const kept = ratio > reserveRatio
    return Math.max(load.steadyPerS, kept ? 0 : load.perS * 0.5) > steadyFromPerS * (kept ? 0.5 : 1)
  }

  /** Copies that bear the requests at once, and have places for the adapters. */
  #bearing(model: string, adapter: string, ratio: number): number {
    const load = this.#loads.get(keyOf(model, adapter))
    if (load === undefined) return 1
    const byCount = Math.ceil((ratio * load.expected) / this.#bears(model))
    return Math.max(1, byCount, adapter === '' ? this.#byAdapters(model, ratio) : 1)
  }

  /** Requests at once that one more copy would bear, of those beyond what so many copies bear. */
  #beyond(model: string, adapter: string, copies: number): number {
    const expected = reserveRatio * (this.#loads.get(keyOf(model, adapter))?.expected ?? 0)
    const bears = this.#bears(model)
    return Math.max(0, Math.min(bears, expected - bears * copies))
  }

  /** Requests at once that one copy of a model bears. */
  #bears(model: string): number {
    const capacity = this.#capacities.get(this.#inventory.planOf(model)?.owner ?? '') ?? 1
    return bearsRatio * capacity
  }

  /** Copies of a model that have places for all of its adapters that are asked for steadily. */
  #byAdapters(model: string, ratio: number): number {
    const places = Math.max(1, this.#places)
    let active = 0
    for (const adapter of this.#adaptersOf.get(model) ?? [])
      if ((this.#loads.get(keyOf(model, adapter))?.steadyPerS ?? 0) > steadyFromPerS * (ratio > reserveRatio ? 0.5 : 1)) active += 1
    return Math.ceil(active / places)
  }

  #held(nowMs: number): Map<string, { model: string; adapter: string; dueInMs: number; count: number }> {
    const held = new Map<string, { model: string; adapter: string; dueInMs: number; count: number }>()
    for (const tally of this.#tallies.values()) {
      if (nowMs - tally.heardMs > this.#timings.leaseMs) continue
      for (const { model, adapter, dueInMs, count } of tally.held) {
        const key = keyOf(model, adapter)
        const old = held.get(key)
        const leftMs = dueInMs - (nowMs - tally.heardMs)
        held.set(key, { model, adapter, dueInMs: Math.min(old?.dueInMs ?? Infinity, leftMs), count: (old?.count ?? 0) + count })
      }
    }
    for (const key of this.#heldSinceMs.keys()) if (!held.has(key)) this.#heldSinceMs.delete(key)
    for (const key of held.keys()) if (!this.#heldSinceMs.has(key)) this.#heldSinceMs.set(key, nowMs)
    return held
  }

  #count(nowMs: number): Want[] {
    const wants: Want[] = []
    const held = this.#held(nowMs)
    const urgent = new Set<string>()
    const allZones = new Set(this.#inventory.all.flatMap((modelServer) => (modelServer.open ? [modelServer.zone] : [])))
    const base = (plan: ModelPlan, adapter: string) => ({
      model: plan.key,
      adapter,
      partner: plan.owner,
      dueInMs: Infinity,
      nextMs: nowMs,
      deltaMs: this.#predictor.forecast(keyOf(plan.key, adapter), nowMs)?.deltaMs ?? 0,
      zones: [],
    })
    for (const [key, one] of held) {
      const plan = this.#inventory.planOf(one.model)
      if (plan === undefined || (one.adapter !== '' && !plan.adapters.includes(one.adapter))) continue
      const copies = this.#holders.get(key) ?? []
      const waited = nowMs - (this.#heldSinceMs.get(key) ?? nowMs) > crowdedMs
      const settled = copies.every((modelServer) => nowMs - modelServer.settledMs > crowdedMs)
      if (copies.length > 0 && !(waited && settled && copies.length >= this.#needed(one.model, one.adapter, reserveRatio))) continue
      urgent.add(key)
      const why = copies.length === 0 ? 'a request waits' : 'requests wait although a copy is there'
      wants.push({
        ...base(plan, one.adapter),
        kind: 'held',
        dueInMs: one.dueInMs,
        urgency: (waitingWeight * one.count) / (1 + copies.length),
        why,
      })
    }
    if (this.#policy.foresees)
      for (const plan of this.#inventory.fleet?.models ?? [])
        for (const adapter of ['', ...(this.#adaptersOf.get(plan.key) ?? [])]) {
          const key = keyOf(plan.key, adapter)
          const load = this.#loads.get(key)
          if (load === undefined || urgent.has(key)) continue
          const copies = this.#holders.get(key) ?? []
          const perS = Math.max(load.perS, load.steadyPerS)
          if (copies.length === 0) {
            const forecast = this.#predictor.forecast(key, nowMs)
            if (load.steadyPerS > steadyFromPerS)
              wants.push({
                ...base(plan, adapter),
                kind: load.steadyPerS > crowdPerS ? 'busy' : 'hours',
                urgency: Math.max(1, load.expected),
                why: 'busy, and no copy is left',
              })
            else if (this.#has('forecast-loads') && forecast !== undefined && this.#opens(forecast, plan.key, adapter, nowMs))
              wants.push({ ...base(plan, adapter), kind: 'forecast', nextMs: forecast.nextMs, urgency: perS, why: 'a request is forecast' })
            continue
          }
          const needed = this.#needed(plan.key, adapter, reserveRatio)
          const roof = adapter === '' ? this.#inventory.all.length : (this.#holders.get(plan.key)?.length ?? 0)
          const zones = [...new Set(copies.map((modelServer) => modelServer.zone))]
          const missing = Math.min(needed, roof) - copies.length
          const urgency = perS / copies.length
          const elsewhere = zones.length < allZones.size
          const crowded = Math.min(this.#bearing(plan.key, adapter, reserveRatio), roof) - copies.length
          if (crowded > 0 && perS > crowdPerS && this.#has('crowd-copies'))
            for (let n = 0; n < Math.min(crowded, copiesAtOnce); n++)
              wants.push({
                ...base(plan, adapter),
                kind: 'busy',
                urgency: this.#beyond(plan.key, adapter, copies.length + n),
                why: 'more requests than its copies bear',
              })
          else if (missing > 0 || (this.#has('zone-spares') && needed > 1 && zones.length === 1 && elsewhere && adapter === ''))
            wants.push({
              ...base(plan, adapter),
              kind: 'spare',
              zones: elsewhere && adapter === '' ? zones : [],
              urgency,
              why: 'a spare in another zone',
            })
        }
    const rank = { busy: 3, held: 3, hours: 2, forecast: 2, spare: 1 }
    return wants.sort((a, b) => rank[b.kind] - rank[a.kind] || b.urgency - a.urgency || a.nextMs - b.nextMs)
  }

  #opens(forecast: { nextMs: number; deltaMs: number }, model: string, adapter: string, nowMs: number): boolean {
    const thetaMs = adapter === '' ? this.thetaMs(model) : attachMs
    return nowMs >= forecast.nextMs - forecast.deltaMs - thetaMs && nowMs <= forecast.nextMs + forecast.deltaMs
  }

  #plan(nowMs: number): void {
    const live = new Set(this.#wants.flatMap((want) => [want.model, keyOf(want.model, want.adapter)]))
    const coming = new Map<string, number>()
    const comes = (key: string, more: number) => coming.set(key, (coming.get(key) ?? 0) + more)
    let spares = 0
    for (const modelServer of this.#inventory.all) {
      if (
        modelServer.plan !== undefined &&
        modelServer.task === undefined &&
        !live.has(keyOf(modelServer.plan.model, modelServer.plan.adapter))
      )
        modelServer.plan = undefined
      const order = modelServer.task?.order
      if (modelServer.plan !== undefined) comes(keyOf(modelServer.plan.model, modelServer.plan.adapter), 1)
      else if (order?.kind === 'load' || order?.kind === 'attach') comes(keyOf(order.model, order.adapter), 1)
      if (modelServer.plan !== undefined || order !== undefined) spares += 1
    }
    for (const want of this.#wants) {
      const plan = this.#inventory.planOf(want.model)
      if (plan === undefined) continue
      const first = !this.#holders.has(want.model)
      const key = first ? want.model : keyOf(want.model, want.adapter)
      if ((coming.get(key) ?? 0) > 0) {
        this.#unmet.blocked(keyOf(want.model, want.adapter), 'coming')
        if (!first) comes(key, -1)
        continue
      }
      if (want.kind === 'spare' && want.adapter === '' && spares > 0) continue
      if (!this.#place(want, plan, nowMs)) continue
      if (first) comes(key, 1)
      spares += 1
    }
  }

  /** Plans it where it does the least harm, if anywhere: an adapter's model first where no one holds that. */
  #place(want: Want, plan: ModelPlan, nowMs: number): boolean {
    const attach = want.adapter !== '' && (this.#holders.get(want.model)?.length ?? 0) > 0
    const step = attach ? want : { ...want, adapter: '' }
    const fitting = this.#inventory.all.filter(
      (modelServer) =>
        modelServer.open &&
        modelServer.owner === plan.owner &&
        modelServer.task === undefined &&
        modelServer.plan === undefined &&
        nowMs >= modelServer.backoffUntilMs &&
        this.#inventory.known(modelServer, nowMs) &&
        !want.zones.includes(modelServer.zone) &&
        (attach
          ? ModelServer.holds(modelServer, want.model, '') && !ModelServer.holds(modelServer, want.model, want.adapter)
          : modelServer.roomMb >= plan.sizeMb && !modelServer.report.models.some((one) => one.model === want.model)),
    )
    const size = attach ? 1 : plan.sizeMb
    this.#unmet.blocked(keyOf(want.model, want.adapter), fitting.length === 0 ? 'noIdleServer' : 'noVictim')
    if (this.#choose(step, plan, fitting, size, 'nothing', nowMs)) return true
    if (this.#choose(step, plan, fitting, size, 'spares', nowMs)) return true
    if (want.kind !== 'held') return false
    for (const relaxed of ['history', 'overlap', 'doubles'] as const)
      if (this.#choose(step, plan, fitting, size, relaxed, nowMs)) return true
    return this.isItsTurn(step, nowMs) && this.#choose(step, plan, fitting, size, 'turns', nowMs)
  }

  #has(mechanism: Mechanism): boolean {
    return this.#policy.mechanisms.has(mechanism)
  }

  /** True of what was asked for so long ago, and that no server has held since, that another is to make way for it. */
  isItsTurn(want: Pick<Want, 'model' | 'adapter'>, nowMs: number): boolean {
    const entry = this.#unmet.entries.get(keyOf(want.model, want.adapter))
    return this.#has('turns') && entry !== undefined && nowMs - entry.sinceMs > turnLoads * this.#turnMs(want.model, want.adapter)
  }

  /** What may make way on a server when it is another's turn: had a turn itself, and is asked for seldom enough to be missed little. */
  hadTheirTurn(modelServer: ModelServer, adapters: boolean, nowMs: number): ResidentModel[] {
    return this.#residentsNow(modelServer, adapters, false, nowMs).filter((one) => {
      const heldMs = nowMs - (this.#sinceMs.get(`${modelServer.name} ${one.key}`) ?? -Infinity)
      const [model = '', adapter = ''] = one.key.split('/')
      return heldMs > this.#turnMs(model, adapter) && (this.#loads.get(one.key)?.perS ?? 0) < crowdPerS
    })
  }

  #turnMs(model: string, adapter: string): number {
    return adapter === '' ? this.thetaMs(model) : adapterTurnMs
  }

  #choose(want: Want, plan: ModelPlan, modelServers: readonly ModelServer[], size: number, relaxed: Relaxation, nowMs: number): boolean {
    let best: { modelServer: ModelServer; victims: string[]; rank: number } | undefined
    const newcomer = { nextMs: want.nextMs, windowFromMs: want.nextMs - want.deltaMs, windowToMs: want.nextMs + want.deltaMs, size }
    const adapters = want.adapter !== ''
    for (const modelServer of modelServers) {
      const byRoom = plan.adapterMb > 0 ? Math.floor(ModelServer.freeMb(modelServer) / plan.adapterMb) : Infinity
      const free = adapters ? Math.min(ModelServer.freePlaces(modelServer), byRoom) : ModelServer.freeMb(modelServer)
      const mayMakeWay = () =>
        relaxed === 'turns'
          ? this.hadTheirTurn(modelServer, adapters, nowMs)
          : this.#residentsNow(modelServer, adapters, relaxed === 'spares', nowMs)
      const residents = free >= size ? [] : this.#mayLeave(want, mayMakeWay())
      const victims = this.#policy.evict(newcomer, residents, free, this.#historyMs, nowMs, relaxed)
      if (victims === undefined) continue
      const calm = 1 - Math.min(1, (this.#busy.get(modelServer.name) ?? 0) / Math.max(1, modelServer.capacity))
      const lowest = Math.min(...victims.map((one) => one.score))
      const rank =
        (victims.length === 0 ? 2 : lowest) +
        0.5 * calm -
        (modelServer.cold ? 0.3 : 0) +
        (adapters ? 0 : this.#apart(modelServer, want) + this.#again(modelServer, want))
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
    this.#unmet.blocked(keyOf(want.model, want.adapter), 'coming')
    return true
  }

  #again(modelServer: ModelServer, want: Want): number {
    return this.#has('disk-affinity') && this.#onDisk.get(modelServer.name)?.has(want.model) === true ? 0.25 : 0
  }

  /** A copy in a zone that has none yet is worth something. */
  #apart(modelServer: ModelServer, want: Want): number {
    return (this.#holders.get(want.model) ?? []).some((other) => other.zone === modelServer.zone) ? 0 : 0.2
  }

  /** For a further copy only what is asked for far more seldom makes way, and no adapter. */
  #mayLeave(want: Want, residents: readonly ResidentModel[]): ResidentModel[] {
    const others = residents.filter((one) => one.key !== want.model)
    if (want.kind === 'held' || want.kind === 'forecast') return others
    if (want.adapter !== '') return []
    return others.filter((one) => one.doubled || (this.#loads.get(one.key)?.steadyPerS ?? 0) < rareRatio * want.urgency)
  }
}
