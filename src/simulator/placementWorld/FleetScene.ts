/**
 * A scene of the simulated fleet: its servers, the requests, and what befalls it, played for half a minute of traffic.
 */
import { Random } from '../../common/Random.js'
import type { Policy } from '../../placement/Policy.js'
import { DemandPattern } from './DemandPattern.js'
import { PlacementWorld } from './PlacementWorld.js'
import type { RequestKind } from './RequestKind.js'

export interface FleetScene {
  seed: number
  servers: number
  gateways?: number
  loadMs: number
  loadsPerS: number
  kinds: readonly [RequestKind, RequestKind]
  /** When other models become popular, and how many at a time. */
  shiftsMs: readonly number[]
  shiftedAtOnce: number
  policy?: Policy
  slowness?: (at: number) => number
  /** What befalls the fleet, by the time since traffic began. */
  events?: readonly { atMs: number; befall: (world: PlacementWorld) => void }[]
}
const places = 3
const settleMs = 4000
const trafficMs = 34_000

/** Popular models have two copies each at first, as far as there are places, and the others one. */
function firstHoldings(servers: number, popularNow: readonly string[], others: readonly string[]): string[][] {
  const first = [...popularNow, ...popularNow, ...others]
  return Array.from({ length: servers }, (_, at) => {
    const names = Array.from({ length: places }, (_place, place) => first[at + place * servers])
    return [...new Set(names.flatMap((name) => (name === undefined ? [] : [name])))]
  })
}

export const FleetScene = {
  /** Models that fit on a server. */
  places,

  play(scene: FleetScene, each: (world: PlacementWorld) => void = () => undefined): PlacementWorld {
    const [first, second] = scene.kinds
    const models = [...first.models, ...second.models]
    const holds = firstHoldings(scene.servers, models.slice(0, first.activeAtOnce), models.slice(first.activeAtOnce))
    const plan = {
      zones: 4,
      gateways: 6,
      capacity: 24,
      models,
      adapters: first.adapters,
      modelMb: () => 70_000,
      roomMb: 220_000,
    }
    const world = new PlacementWorld({ ...plan, ...scene }, holds)
    world.run(settleMs)
    const beganMs = world.nowMs
    const random = new Random(scene.seed)
    const shifts = scene.shiftsMs.map((atMs) => ({ atMs, count: scene.shiftedAtOnce }))
    const firstPattern = new DemandPattern(first, shifts, random.fork(), beganMs)
    const events = [...(scene.events ?? [])].sort((a, b) => a.atMs - b.atMs)
    world.run(trafficMs, [firstPattern, new DemandPattern(second, [], random.fork(), beganMs)], () => {
      for (let next = events[0]; next !== undefined && world.nowMs - beganMs >= next.atMs; next = events[0]) {
        events.shift()
        next.befall(world)
      }
      each(world)
    })
    return world
  },
}
