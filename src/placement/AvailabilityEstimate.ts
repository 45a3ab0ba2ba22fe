/**
 * Estimates for requests that wait for a model: when a copy is likely ready, and before when there certainly is none.
 */
import type { Timings } from '../common/Timings.js'
import type { Bucket } from './Bucket.js'
import { ModelServer } from './ModelServer.js'
import type { Placer } from './Placer.js'
import type { ServerInventory } from './ServerInventory.js'

interface Estimate {
  model: string
  adapter: string
  readyInMs: number
  neverBeforeMs: number
  loading: boolean
}
/** How long attaching an adapter likely takes at a server that holds its model. */
const attachMs = 200
/** A load that takes that many times as long as others is not counted on any more. */
const overrunRatio = 1.5

export class AvailabilityEstimate {
  readonly #timings: Timings
  readonly #inventory: ServerInventory
  readonly #bucket: Bucket
  readonly #placer: () => Placer

  constructor(timings: Timings, inventory: ServerInventory, bucket: Bucket, placer: () => Placer) {
    this.#timings = timings
    this.#inventory = inventory
    this.#bucket = bucket
    this.#placer = placer
  }

  /** An estimate for each model and adapter that requests wait for. */
  of(held: readonly { model: string; adapter: string }[], nowMs: number): Estimate[] {
    const { fleet } = this.#inventory
    if (fleet === undefined) return []
    const { perS, burst, draw } = fleet.store
    return held.flatMap(({ model, adapter }) => {
      const plan = this.#inventory.planOf(model)
      if (plan === undefined) return []
      const certain = this.#nowhere(model, nowMs)
      const neverBeforeMs = certain ? this.#bucket.earliestMs(draw({ kind: 'load', sizeMb: plan.sizeMb }), perS, burst, nowMs) : 0
      const readyInMs = Math.max(neverBeforeMs, this.#readyInMs(model, adapter, plan.sizeMb, nowMs))
      return [{ model, adapter, neverBeforeMs, readyInMs, loading: this.#loading(model, adapter, plan.sizeMb, nowMs) }]
    })
  }

  /** True when every server that the plan names is known and none has the model in any state, nor is to get it. */
  #nowhere(model: string, nowMs: number): boolean {
    const named = this.#inventory.fleet?.servers.size ?? 0
    const modelServers = this.#inventory.all
    return (
      modelServers.length === named &&
      modelServers.every(
        (modelServer) => this.#inventory.known(modelServer, nowMs) && !modelServer.report.models.some((one) => one.model === model),
      ) &&
      !modelServers.some((modelServer) => modelServer.task?.order.model === model)
    )
  }

  /** True while an open server carries out the load of the model, as far as is known, for not much longer than loads take. */
  #loading(model: string, adapter: string, sizeMb: number, nowMs: number): boolean {
    const open = this.#inventory.all.filter((modelServer) => modelServer.open)
    if (adapter !== '' && open.some((modelServer) => ModelServer.holds(modelServer, model, ''))) return false
    const mostMs = overrunRatio * this.#placer().thetaMs(model, sizeMb)
    return open.some(({ task }) => {
      if (task?.phase !== 'sent' || task.order.kind !== 'load' || task.order.model !== model) return false
      return task.unansweredMs === undefined && task.againMs === undefined && nowMs - task.sinceMs < mostMs
    })
  }

  /** The order under way, else the wants before it at the store's pace, else the first window to close. */
  #readyInMs(model: string, adapter: string, sizeMb: number, nowMs: number): number {
    const modelServers = this.#inventory.all.filter((modelServer) => modelServer.open)
    if (modelServers.some((modelServer) => ModelServer.holds(modelServer, model, adapter))) return 0
    if (
      this.#inventory.fleet?.counts === true &&
      adapter !== '' &&
      modelServers.some((modelServer) => ModelServer.holds(modelServer, model, ''))
    )
      return attachMs
    const thetaMs = this.#placer().thetaMs(model, sizeMb)
    for (const { task, plan } of modelServers) {
      if (task?.order.model === model && task.order.kind === 'load')
        return Math.max(0, thetaMs - (nowMs - task.sinceMs)) + this.#timings.reportMs
      if (plan?.model === model) return (1 + 2 * plan.victims.length) * this.#timings.reportMs + thetaMs
    }
    const { fleet } = this.#inventory
    const { wants } = this.#placer()
    const ahead = wants.slice(
      0,
      wants.findIndex((want) => want.model === model),
    )
    const drawn = ahead.reduce(
      (sum, want) => sum + (fleet?.store.draw({ kind: 'load', sizeMb: this.#inventory.planOf(want.model)?.sizeMb ?? 0 }) ?? 0),
      0,
    )
    const queuedMs = (1000 * drawn) / (fleet?.store.perS ?? 1) + thetaMs
    if (modelServers.some((modelServer) => ModelServer.freeMb(modelServer) >= sizeMb)) return queuedMs
    const closes = modelServers.flatMap((modelServer) =>
      this.#placer()
        .residents(modelServer, false, nowMs)
        .map((one) => Math.max(0, one.windowToMs - nowMs)),
    )
    return queuedMs + Math.min(this.#timings.orderMs, ...closes)
  }
}
