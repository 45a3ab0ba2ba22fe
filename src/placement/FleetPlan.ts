/**
 * What the placement goes by: the models with their owners, the servers' room, the zones that are emptied
 * and the pace of the store of weights. It comes of a charter, whose store counts MB, or of a network,
 * whose store counts loads and whose servers count the orders they take. A network's models and servers are
 * told apart by service: a model's key is SERVICE:MODEL. Its store may hold no more loads in a span of five
 * seconds than a tenth above the pace and three, and the burst stays half a load below what that leaves.
 */
import { Charter } from '../common/Charter.js'
import type { Network } from '../common/Network.js'
import type { Order } from '../common/Order.js'
import type { ModelPlan } from './ModelPlan.js'

export interface FleetPlan {
  /** Servers count the orders that they take, and the platform lists what they hold. */
  counts: boolean
  models: readonly ModelPlan[]
  model: (key: string) => ModelPlan | undefined
  servers: ReadonlyMap<string, { roomMb: number; places: number }>
  emptied: ReadonlySet<string>
  store: { perS: number; burst: number; atOnce: number; draw: (order: Pick<Order, 'kind' | 'sizeMb'>) => number }
}

const loadsWindowS = 5
const loadsOverage = 0.1
const loadsBeyond = 3

function index(models: readonly ModelPlan[]): (key: string) => ModelPlan | undefined {
  const byKey = new Map<string, ModelPlan>()
  for (const one of models) if (!byKey.has(one.key)) byKey.set(one.key, one)
  return (key) => byKey.get(key)
}

/** By Little's law: loads that begin at the store's pace and take as long as planned are so many at once. */
function loadsAtOnce(perS: number, models: readonly { loadMs: number }[]): number {
  if (models.length === 0) return 1
  const meanMs = models.reduce((sum, one) => sum + one.loadMs, 0) / models.length
  return Math.max(1, Math.round((perS * meanMs) / 1000))
}

export const FleetPlan = {
  ofCharter(charter: Charter): FleetPlan {
    const models = Object.entries(charter.partners).flatMap(([owner, branch]) =>
      Object.entries(branch.models).map(([key, plan]) => ({
        key,
        owner,
        sizeMb: plan.sizeMb,
        loadMs: undefined,
        adapters: plan.adapters,
        adapterMb: plan.adapterMb,
        servers: plan.servers,
        intent: Charter.limits(charter, owner, plan.limits).intent,
      })),
    )
    const servers = new Map<string, { roomMb: number; places: number }>()
    for (const [name, plan] of Object.entries(charter.fleet.servers))
      if (plan.kind === 'model') servers.set(name, { roomMb: plan.roomMb, places: plan.places })
    return {
      counts: false,
      models,
      model: index(models),
      servers,
      emptied: new Set(Object.keys(charter.zones).filter((zone) => charter.zones[zone]?.emptied === true)),
      store: {
        perS: charter.fleet.storePaceMbPerS,
        burst: charter.fleet.storeBurstMb,
        atOnce: Infinity,
        draw: (order) => (order.kind === 'load' || order.kind === 'attach' ? order.sizeMb : 0),
      },
    }
  },

  ofNetwork(
    services: readonly Network['services'][number][],
    listed: readonly { name: string; service?: string | undefined }[],
    emptied: ReadonlySet<string>,
  ): FleetPlan {
    const batches = new Map<string, NonNullable<Network['services'][number]['batch']>>()
    for (const one of services) if (one.batch !== undefined) batches.set(one.name, one.batch)
    const models = [...batches].flatMap(([owner, batch]) =>
      batch.models.map((one) => ({
        key: `${owner}:${one.name}`,
        owner,
        sizeMb: one.sizeMb,
        loadMs: one.loadMs,
        adapters: one.adapters,
        adapterMb: one.adapterMb,
        servers: undefined,
        intent: { weight: 1, coldStartCost: 0, hours: [] },
      })),
    )
    const servers = new Map<string, { roomMb: number; places: number }>()
    for (const { name, service } of listed) {
      const batch = batches.get(service ?? '')
      if (batch !== undefined) servers.set(name, { roomMb: batch.roomMb, places: batch.adapterPlaces })
    }
    const perS = Math.min(...[...batches.values()].map((one) => one.loadsPerS))
    return {
      counts: true,
      models,
      model: index(models),
      servers,
      emptied,
      store: {
        perS,
        burst: Math.max(2, Math.floor(perS * loadsWindowS * loadsOverage + loadsBeyond - 0.5)),
        atOnce: loadsAtOnce(perS, models),
        draw: (order) => (order.kind === 'load' ? 1 : 0),
      },
    }
  },
}
