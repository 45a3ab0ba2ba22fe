/**
 * More models are asked for than the fleet has places, the popular ones change, and a rare model is asked for every few
 * seconds. What clients are served is judged from outside.
 */
import { ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Mechanisms } from '../../common/Mechanisms.js'
import { edgeMulti } from '../../placement/edgeMulti.js'
import { evict } from '../../placement/evict.js'
import type { Policy } from '../../placement/Policy.js'
import { FleetScene } from './FleetScene.js'
import type { PlacementWorld } from './PlacementWorld.js'
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
  silenceMs: 60_000,
  attempts: 2,
  resumable: true,
  urgency: 0,
  worth: 1,
  lateWorth: 0.5,
  promptTokens: 0,
  sharedTokens: 0,
  chains: 0,
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

/** What users bear: one in ten, and one. */
function assertFewStarved(world: PlacementWorld): void {
  const { starved, steadilyAsked } = world.record
  ok(starved.length <= 1 + 0.1 * steadilyAsked.length, `${String(starved.length)} of ${String(steadilyAsked.length)} were never served`)
  strictEqual(world.dispatcher.figures?.invariantViolations, 0)
}

const large = { servers: 42, loadsPerS: 14, kinds: [live, background] as const, shiftsMs: [1000, 14_000], shiftedAtOnce: 10 }
const small = {
  servers: 8,
  loadsPerS: 3,
  kinds: [
    { ...live, perS: 40, models: popular.slice(0, 14), activeAtOnce: 6 },
    { ...background, models: rare.slice(0, 28), activeAtOnce: 28 },
  ] as const,
  shiftsMs: [1000, 14_000],
  shiftedAtOnce: 3,
}

test('few models that are asked for steadily are never served, where loads take far longer than the store needs between two', () => {
  for (const seed of [1, 2]) assertFewStarved(FleetScene.play({ ...large, seed, loadMs: 2700 }))
})

test('few models that are asked for steadily are never served, where loads are short', () => {
  for (const seed of [1, 2]) assertFewStarved(FleetScene.play({ ...large, seed, loadMs: 600 }))
})

test('few models that are asked for steadily are never served, where each is asked for again within the time of a load', () => {
  for (const seed of [2, 4]) assertFewStarved(FleetScene.play({ ...small, seed, loadMs: 2400 }))
})

/** Victims by every rule but the turns. */
const withoutTurns: Policy = {
  ...edgeMulti,
  evict: (newcomer, residents, free, historyMs, nowMs, relaxed) =>
    relaxed === 'turns' ? undefined : evict(newcomer, residents, free, historyMs, nowMs, relaxed),
}

const scarce = {
  ...small,
  loadMs: 2400,
  kinds: [
    { ...live, perS: 20, models: popular.slice(0, 14), activeAtOnce: 6 },
    { ...background, perS: 30, models: rare.slice(0, 40), activeAtOnce: 40, skew: 0.3 },
  ] as const,
}

test('a placement without turns breaks the invariant of turns, and starves what is served with them', () => {
  assertFewStarved(FleetScene.play({ ...scarce, seed: 1 }))
  const world = FleetScene.play({ ...scarce, seed: 1, policy: withoutTurns })
  ok((world.dispatcher.figures?.invariantViolations ?? 0) > 0)
  ok(world.record.starved.length > 1 + 0.1 * world.record.steadilyAsked.length)
  const switchedOff = FleetScene.play({ ...scarce, seed: 1, policy: { ...edgeMulti, mechanisms: Mechanisms.without(['turns']) } })
  ok(switchedOff.record.starved.length > 1 + 0.1 * switchedOff.record.steadilyAsked.length)
})

test('no server waits for its turn at the store for ever while others load again and again', () => {
  const kinds = [live, { ...background, perS: 31 }] as const
  const emptySinceMs = new Map<string, number>()
  let longestMs = 0
  const world = FleetScene.play({ ...large, kinds, seed: 1, loadMs: 600 }, ({ servers, nowMs }) => {
    for (const { name, models, loading } of servers.values()) {
      if (models.size >= FleetScene.places || loading) emptySinceMs.delete(name)
      else if (!emptySinceMs.has(name)) emptySinceMs.set(name, nowMs)
      longestMs = Math.max(longestMs, nowMs - (emptySinceMs.get(name) ?? nowMs))
    }
  })
  const { served } = world.record.share(live.name)
  ok(
    longestMs < 10_000,
    `a server stood with an emptied place for ${String(longestMs)} ms; ${served.toFixed(3)} of the live requests were served`,
  )
})
