/**
 * What one life of a model server holds, and the orders that change it. One order is under way at a time; a
 * lower fence than was seen is refused; an order beyond its memory is told by `overMb` and would end it.
 * Holdings are told as they stood a moment before, as model servers do.
 */
import type { SoakHolding } from './SoakHolding.js'
import type { SoakOrder } from './SoakOrder.js'
import { SoakScene } from './SoakScene.js'

interface Taken {
  status: number
  fillsMb: number
  fillsPlaces: number
  fromStore: boolean
}

const reportLagMs = 200
const fromDiskRatio = 0.5
const attachMs = 40
const keptSnapshots = 200
const answer = (status: number): Taken => ({ status, fillsMb: 0, fillsPlaces: 0, fromStore: false })

export class SoakMemory {
  readonly #models = new Map<string, Set<string>>()
  readonly #disk: Set<string>
  readonly #snapshots: { atMs: number; models: SoakHolding['models']; busy: boolean; sequence: number }[] = []
  #task: SoakOrder | undefined
  #endsMs = Infinity
  #sequence = 0
  #fence = -1

  /** `disk` outlives the server's lives: what is there is loaded sooner, and not from the store. */
  constructor(models: readonly string[], disk: Set<string>, nowMs: number) {
    for (const model of models) {
      this.#models.set(model, new Set())
      disk.add(model)
    }
    this.#disk = disk
    this.#changed(nowMs)
  }

  holds(model: string, adapter: string): boolean {
    return this.#models.get(model) !== undefined && (adapter === '' || this.#models.get(model)?.has(adapter) === true)
  }

  /** Whether an order that is under way concerns a request for this. */
  concerned(model: string, adapter: string): boolean {
    const task = this.#task
    return task?.model === model && (task.adapter === '' || task.adapter === adapter)
  }

  get models(): SoakHolding['models'] {
    return [...this.#models].map(([name, adapters]) => ({ name, adapters: [...adapters] }))
  }

  told(nowMs: number): Pick<SoakHolding, 'models' | 'busy' | 'sequence'> {
    const found = this.#snapshots.findLast((one) => one.atMs <= nowMs - reportLagMs) ?? this.#snapshots[0]
    return found ?? { models: this.models, busy: false, sequence: 0 }
  }

  take(order: SoakOrder, nowMs: number): Taken {
    if (order.fence < this.#fence) return answer(412)
    this.#fence = order.fence
    const { model, adapter } = order
    const held = this.holds(model, adapter)
    if (this.#task !== undefined) return answer(409)
    if (order.expected !== undefined && order.expected !== this.#sequence) return answer(409)
    if (held === (order.kind === 'load')) return answer(200)
    const plan = SoakScene.models.get(model)
    if (plan === undefined || (order.kind === 'load' && adapter !== '' && !this.#models.has(model))) return answer(400)
    this.#sequence += 1
    this.#task = order
    const fromStore = order.kind === 'load' && adapter === '' && !this.#disk.has(model)
    if (order.kind === 'load') this.#endsMs = nowMs + (adapter !== '' ? attachMs : fromStore ? plan.loadMs : fromDiskRatio * plan.loadMs)
    this.#changed(nowMs)
    if (order.kind === 'unload') return answer(202)
    return { status: 202, ...this.#filled(order), fromStore }
  }

  /** Ends the order that is under way once its time has come, and for an unload once nothing runs there. */
  tick(nowMs: number, running: (model: string, adapter: string) => number): void {
    const task = this.#task
    if (task === undefined) return
    if (task.kind === 'load') {
      if (nowMs < this.#endsMs) return
      if (task.adapter === '') this.#models.set(task.model, new Set())
      else this.#models.get(task.model)?.add(task.adapter)
      this.#disk.add(task.model)
    } else {
      if (running(task.model, task.adapter) > 0) return
      if (task.adapter === '') this.#models.delete(task.model)
      else this.#models.get(task.model)?.delete(task.adapter)
    }
    this.#task = undefined
    this.#changed(nowMs)
  }

  /** The memory and places in use once this load is done. */
  #filled(order: SoakOrder): { fillsMb: number; fillsPlaces: number } {
    const adapters = [...this.#models.values()].reduce((sum, one) => sum + one.size, 0) + (order.adapter === '' ? 0 : 1)
    const models = [...this.#models.keys(), ...(order.adapter === '' ? [order.model] : [])]
    const weightsMb = models.reduce((sum, one) => sum + (SoakScene.models.get(one)?.sizeMb ?? 0), 0)
    return { fillsMb: weightsMb + adapters * SoakScene.adapterMb, fillsPlaces: adapters }
  }

  #changed(nowMs: number): void {
    this.#snapshots.push({ atMs: nowMs, models: this.models, busy: this.#task !== undefined, sequence: this.#sequence })
    if (this.#snapshots.length > keptSnapshots) this.#snapshots.shift()
  }
}
