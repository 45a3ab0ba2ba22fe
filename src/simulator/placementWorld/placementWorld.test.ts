/**
 * More models are asked for than the fleet has places, the popular ones change, and a rare model is asked for every few
 * seconds. What clients are served is judged from outside.
 */
import { ok } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../../common/Random.js'
import { DemandPattern } from './DemandPattern.js'
import { PlacementWorld } from './PlacementWorld.js'
import type { RequestKind } from './RequestKind.js'

const popular = Array.from({ length: 50 }, (_, at) => `popular-${String(at)}`)
const rare = Array.from({ length: 150 }, (_, at) => `rare-${String(at)}`)
const adapters = ['a1', 'a2', 'a3']
const live: RequestKind = {
  name: 'live',
  perS: 240,
  models: popular,
  activeAtOnce: 20,
  skew: 0.6,
  adapterShare: 0.1,
  adapters,
  aimMs: 500,
  dueMs: 5000,
  attempts: 2,
  resumable: true,
  runMs: 250,
}
const background: RequestKind = {
  ...live,
  name: 'background',
  perS: 17,
  models: rare,
  activeAtOnce: rare.length,
  skew: 0,
  adapterShare: 0,
  aimMs: 5000,
  dueMs: 12_000,
  attempts: 1,
  resumable: false,
}

interface Size {
  servers: number
  loadMs: number
  loadsPerS: number
}

function crowded(seed: number, size: Size): PlacementWorld {
  const places = 3
  const models = [...popular, ...rare]
  const busy = popular.slice(0, live.activeAtOnce)
  const first = [...busy, ...busy, ...models.slice(live.activeAtOnce)]
  const holds = Array.from({ length: size.servers }, (_, at) =>
    [...new Set(Array.from({ length: places }, (_place, place) => first[at + place * size.servers] ?? ''))].filter((one) => one !== ''),
  )
  const plan = { seed, zones: 4, gateways: 6, capacity: 24, models, adapters, modelMb: 70_000, roomMb: 220_000, kinds: [live, background] }
  const world = new PlacementWorld({ ...plan, ...size }, holds)
  world.run(4000)
  const random = new Random(seed)
  const shifts = [
    { atMs: 1000, count: 10 },
    { atMs: 14_000, count: 10 },
  ]
  world.run(34_000, [
    new DemandPattern(live, shifts, random.fork(), world.nowMs),
    new DemandPattern(background, [], random.fork(), world.nowMs),
  ])
  return world
}

/** What users bear: one in ten, and one. */
function few(world: PlacementWorld): void {
  const { starved, steadilyAsked } = world.record
  ok(starved.length <= 1 + 0.1 * steadilyAsked.length, `${String(starved.length)} of ${String(steadilyAsked.length)} were never served`)
}

for (const [name, size] of Object.entries({
  'loads take far longer than the store needs between two': { servers: 42, loadMs: 2700, loadsPerS: 14 },
  'loads are short': { servers: 42, loadMs: 600, loadsPerS: 14 },
}))
  void test(`few models that are asked for steadily are never served, where ${name}`, () => {
    for (const seed of [1, 2]) {
      const world = crowded(seed, size)
      few(world)
    }
  })
