/**
 * A stand-in model server without its sockets: it holds weights and adapters in its room and places,
 * takes one order at a time, reports what it holds, and writes down every rule that an order or a
 * request broke. Also stands in for plain service servers, which hold nothing.
 */
import type { Order } from '../common/Order.js'
import type { Report } from '../common/Report.js'
import type { Observation } from './Observation.js'

interface Plan {
  name: string
  zone: string
  roomMb: number
  places: number
  loadMbPerS: number
  checksEpoch: boolean
  enforcesEpoch: boolean
  warmMs: number
  coldLimit: number
}

const keptParts = 60

export class StandInServer {
  readonly plan: Plan
  readonly incarnation: string
  readonly #bornMs: number
  readonly #see: (observation: Observation) => void
  readonly #models = new Map<string, { sizeMb: number; state: 'loading' | 'loaded' | 'unloading'; flights: number }>()
  readonly #adapters = new Map<string, { model: string; adapter: string; state: 'loading' | 'loaded' | 'unloading'; flights: number }>()
  #epoch = 0
  #order: (Order & { state: 'running' | 'done' | 'defect'; endsMs: number }) | undefined
  #flights = 0
  readonly #kept = new Map<string, string>()
  /** Faults that a test sets: loads that end badly, orders that take longer. */
  failsLoads = false
  slowdown = 1

  constructor(plan: Plan, incarnation: string, nowMs: number, see: (observation: Observation) => void) {
    this.plan = plan
    this.incarnation = incarnation
    this.#bornMs = nowMs
    this.#see = see
  }

  get flights(): number {
    return this.#flights
  }

  upMs(nowMs: number): number {
    return nowMs - this.#bornMs
  }

  advance(nowMs: number): void {
    const order = this.#order
    if (order?.state !== 'running' || nowMs < order.endsMs) return
    const key = `${order.model}/${order.adapter}`
    order.state = this.failsLoads && (order.kind === 'load' || order.kind === 'attach') ? 'defect' : 'done'
    if (order.kind === 'load') this.#land(this.#models, order.model, order.state)
    else if (order.kind === 'attach') this.#land(this.#adapters, key, order.state)
    else if (order.kind === 'unload') {
      const model = this.#models.get(order.model)
      if (model !== undefined && model.flights > 0)
        this.#broke('flights', `${order.model} was unloaded under ${String(model.flights)} streams`, nowMs)
      this.#models.delete(order.model)
      for (const [name, adapter] of this.#adapters) if (adapter.model === order.model) this.#adapters.delete(name)
    } else {
      const adapter = this.#adapters.get(key)
      if (adapter !== undefined && adapter.flights > 0)
        this.#broke('flights', `${key} was detached under ${String(adapter.flights)} streams`, nowMs)
      this.#adapters.delete(key)
    }
  }

  #land<T extends { state: 'loading' | 'loaded' | 'unloading' }>(table: Map<string, T>, key: string, state: 'done' | 'defect'): void {
    const held = table.get(key)
    if (held === undefined) return
    if (state === 'done') held.state = 'loaded'
    else table.delete(key)
  }

  #broke(rule: 'room' | 'places' | 'flights' | 'twoOrders', what: string, nowMs: number): void {
    this.#see({ kind: 'broke', atMs: nowMs, server: this.plan.name, rule, what })
  }

  take(order: Order, nowMs: number): number {
    this.advance(nowMs)
    const seen = (taken: boolean) => {
      this.#see({
        kind: 'ordered',
        atMs: nowMs,
        server: this.plan.name,
        incarnation: this.incarnation,
        epoch: order.epoch,
        number: order.number,
        order: `${order.kind} ${order.model}/${order.adapter}`,
        taken,
      })
    }
    if (this.#order?.epoch === order.epoch && this.#order.number === order.number) return 202
    const late = this.#order?.epoch === order.epoch && order.number < this.#order.number
    if (this.plan.enforcesEpoch && (order.epoch < this.#epoch || late)) {
      seen(false)
      return 409
    }
    this.#epoch = Math.max(this.#epoch, order.epoch)
    if (this.#order?.state === 'running') {
      this.#broke('twoOrders', `got ${order.kind} ${order.model} while ${this.#order.kind} ${this.#order.model} runs`, nowMs)
      seen(false)
      return 409
    }
    seen(true)
    const key = `${order.model}/${order.adapter}`
    let tookMs = 30
    if (order.kind === 'load') {
      if (!this.#models.has(order.model)) {
        this.#models.set(order.model, { sizeMb: order.sizeMb, state: 'loading', flights: 0 })
        this.#see({ kind: 'drew', atMs: nowMs, mb: order.sizeMb })
      }
      tookMs = (1000 * order.sizeMb) / this.plan.loadMbPerS
      const used = [...this.#models.values()].reduce((sum, model) => sum + model.sizeMb, 0)
      if (used > this.plan.roomMb) this.#broke('room', `${String(used)} MB of ${String(this.plan.roomMb)}`, nowMs)
    } else if (order.kind === 'attach') {
      if (!this.#adapters.has(key)) {
        this.#adapters.set(key, { model: order.model, adapter: order.adapter, state: 'loading', flights: 0 })
        this.#see({ kind: 'drew', atMs: nowMs, mb: order.sizeMb })
      }
      tookMs = 50
      if (this.#adapters.size > this.plan.places)
        this.#broke('places', `${String(this.#adapters.size)} adapters in ${String(this.plan.places)} places`, nowMs)
    } else if (order.kind === 'unload') {
      const model = this.#models.get(order.model)
      if (model !== undefined) model.state = 'unloading'
    } else {
      const adapter = this.#adapters.get(key)
      if (adapter !== undefined) adapter.state = 'unloading'
    }
    this.#order = { ...order, state: 'running', endsMs: nowMs + tookMs * this.slowdown }
    return 202
  }

  report(epoch: number, nowMs: number): Report {
    this.advance(nowMs)
    this.#epoch = Math.max(this.#epoch, epoch)
    return {
      server: this.plan.name,
      incarnation: this.incarnation,
      madeMs: this.upMs(nowMs),
      ...(this.plan.checksEpoch ? { epoch: this.#epoch } : {}),
      models: [...this.#models].map(([model, held]) => ({ model, ...held })),
      adapters: [...this.#adapters.values()].map((held) => ({ ...held })),
      ...(this.#order === undefined ? {} : { order: { epoch: this.#order.epoch, number: this.#order.number, state: this.#order.state } }),
      parts: [...this.#kept].map(([chain, model]) => ({ model, chain })),
    }
  }

  /** True when a request may run here: a service server takes any, a model server what is loaded. */
  allows(model: string, adapter: string, nowMs: number): boolean {
    this.advance(nowMs)
    if (model === '') return true
    const weights = this.#models.get(model)
    return weights?.state === 'loaded' && (adapter === '' || this.#adapters.get(`${model}/${adapter}`)?.state === 'loaded')
  }

  /** Takes a chain of prompt parts into its cache, whose oldest parts leave; gives how many of them it had kept. */
  keep(model: string, chain: readonly string[]): number {
    const unknown = chain.findIndex((link) => !this.#kept.has(link))
    for (const link of chain) {
      this.#kept.delete(link)
      this.#kept.set(link, model)
    }
    for (const oldest of this.#kept.keys()) {
      if (this.#kept.size <= keptParts) break
      this.#kept.delete(oldest)
    }
    return unknown < 0 ? chain.length : unknown
  }

  begin(model: string, adapter: string, nowMs: number): void {
    this.#flights += 1
    const weights = this.#models.get(model)
    if (weights !== undefined) weights.flights += 1
    const attached = this.#adapters.get(`${model}/${adapter}`)
    if (attached !== undefined) attached.flights += 1
    if (this.upMs(nowMs) < this.plan.warmMs)
      this.#see({
        kind: 'coldRun',
        atMs: nowMs,
        server: this.plan.name,
        incarnation: this.incarnation,
        flights: this.#flights,
        limit: this.plan.coldLimit,
      })
  }

  end(model: string, adapter: string): void {
    this.#flights -= 1
    const weights = this.#models.get(model)
    if (weights !== undefined) weights.flights -= 1
    const attached = this.#adapters.get(`${model}/${adapter}`)
    if (attached !== undefined) attached.flights -= 1
  }
}
