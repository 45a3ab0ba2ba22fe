/**
 * What models and their adapters take of a server's memory, also of those that the configuration no longer lists: servers that held
 * them hold them on until they are ordered to let them go.
 */
import type { PlatformServer } from '../common/PlatformServer.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'
import { RetiredModel } from '../consensus/RetiredModel.js'
import type { FleetPlan } from './FleetPlan.js'
import type { ModelServer } from './ModelServer.js'

const prefix = 'retired/'
const noneMb: ReadonlyMap<string, number> = new Map()

export class ModelSizes {
  #listed: FleetPlan['model'] = () => undefined
  #retired: ReadonlyMap<string, RetiredModel> = new Map()
  /** What an adapter of each model takes, by the model's key. */
  adapterMb: ReadonlyMap<string, number> = noneMb

  /** Takes the sizes of a plan, and those that the replicated table keeps of retired models. */
  follow(fleet: FleetPlan, copy: ReplicaTable): void {
    this.#listed = fleet.model
    this.#retired = new Map(copy.under(prefix).map(([key, value]) => [key, RetiredModel.parse(JSON.parse(value))]))
    const retiredMb = [...this.#retired].map(([key, { adapterMb }]): [string, number] => [key, adapterMb])
    this.adapterMb = new Map([...retiredMb, ...fleet.models.map(({ key, adapterMb }): [string, number] => [key, adapterMb])])
  }

  /** The weights of a model that a server holds. One whose size nobody knows counts as all of the room: beside it nothing is loaded. */
  heldMb(model: string, { roomMb }: ModelServer): number {
    return this.#listed(model)?.sizeMb ?? this.#retired.get(model)?.sizeMb ?? roomMb
  }

  /** Keys of the rows whose model surely no server holds any more, nor has been ordered to load. */
  outdatedRows(listed: Iterable<PlatformServer>, known: ReadonlyMap<string, ModelServer>): string[] {
    if (this.#retired.size === 0) return []
    const mayBeHeld = new Set<string>()
    const unreadServices = new Set<string>()
    for (const { name, service = '' } of listed) {
      const modelServer = known.get(name)
      if (modelServer?.report === undefined) unreadServices.add(service)
      for (const { model } of modelServer?.report?.models ?? []) mayBeHeld.add(model)
      if (modelServer?.task !== undefined) mayBeHeld.add(modelServer.task.order.model)
    }
    const isOutdated = (model: string) => !mayBeHeld.has(model) && !unreadServices.has(model.slice(0, model.indexOf(':')))
    return [...this.#retired.keys()].filter(isOutdated).map((model) => prefix + model)
  }
}
