/**
 * A model server of the simulated fleet that counts the orders it takes. It carries out one order at a time, refuses
 * one that it did not expect, and unloads a model only once the requests that run on it have ended. It reads prompts one
 * after the other, and keeps the shared parts that it has read.
 */
import type { Order } from '../../common/Order.js'
import type { Report } from '../../common/Report.js'

const tokensPerMs = 30

interface Work {
  order: Order
  untilMs: number
}

export class CountingServer {
  readonly name: string
  readonly zone: string
  readonly models = new Map<string, Set<string>>()
  readonly onDisk = new Set<string>()
  readonly #running = new Map<string, number>()
  /** How much slower than others it reads. */
  readonly slowness: number
  /** The share of requests that it refuses, though it would have places. */
  refusesRatio = 0
  readonly #keptChains = new Set<string>()
  #readUntilMs = 0
  #sequence = 0
  #work: Work | undefined

  constructor(name: string, zone: string, models: readonly string[], slowness = 1) {
    this.slowness = slowness
    this.name = name
    this.zone = zone
    for (const model of models) this.#loaded(model)
  }

  get loading(): boolean {
    return this.#work?.order.kind === 'load'
  }

  get running(): number {
    let sum = 0
    for (const count of this.#running.values()) sum += count
    return sum
  }

  holds(model: string, adapter: string): boolean {
    const order = this.#work?.order
    if (order?.kind === 'unload' && order.model === model) return false
    const adapters = this.models.get(model)
    return adapters !== undefined && (adapter === '' || adapters.has(adapter))
  }

  /** Reads a prompt behind those that came before it; gives how long that takes from now on. */
  read(chain: string, sharedTokens: number, ownTokens: number, nowMs: number): number {
    const isKept = this.#keptChains.has(chain)
    this.#keptChains.add(chain)
    const tookMs = (this.slowness * (ownTokens + (isKept ? 0 : sharedTokens))) / tokensPerMs
    this.#readUntilMs = Math.max(this.#readUntilMs, nowMs) + tookMs
    return this.#readUntilMs - nowMs
  }

  started(model: string): void {
    this.#running.set(model, (this.#running.get(model) ?? 0) + 1)
  }

  ended(model: string): void {
    this.#running.set(model, Math.max(0, (this.#running.get(model) ?? 0) - 1))
  }

  /** Takes an order, unless another is under way or it does not expect this one. */
  take(order: Order, tookMs: number, nowMs: number): 'accepted' | 'turnedAway' {
    if (this.#work !== undefined || order.expected !== this.#sequence) return 'turnedAway'
    this.#sequence += 1
    this.#work = { order, untilMs: nowMs + tookMs }
    return 'accepted'
  }

  /** Ends the order under way when its time has come. */
  advance(nowMs: number): void {
    if (this.#work === undefined || nowMs < this.#work.untilMs) return
    const { order } = this.#work
    if (order.kind === 'unload' && (this.#running.get(order.model) ?? 0) > 0) return
    this.#work = undefined
    if (order.kind === 'load') this.#loaded(order.model)
    if (order.kind === 'unload') this.#unloaded(order.model)
    if (order.kind === 'attach') this.models.get(order.model)?.add(order.adapter)
    if (order.kind === 'detach') this.models.get(order.model)?.delete(order.adapter)
  }

  report(nowMs: number): Report {
    return {
      server: this.name,
      incarnation: this.name,
      madeMs: nowMs,
      models: [...this.models.keys()].map((model) => ({ model, state: 'loaded', sizeMb: 0, flights: 0 })),
      adapters: [...this.models].flatMap(([model, adapters]) =>
        [...adapters].map((adapter) => ({ model, adapter, state: 'loaded' as const, flights: 0 })),
      ),
      parts: [],
      sequence: this.#sequence,
      busy: this.#work !== undefined,
    }
  }

  #unloaded(model: string): void {
    this.models.delete(model)
    for (const chain of this.#keptChains) if (chain.startsWith(`${model}/`)) this.#keptChains.delete(chain)
  }

  #loaded(model: string): void {
    this.models.set(model, new Set())
    this.onDisk.add(model)
  }
}
