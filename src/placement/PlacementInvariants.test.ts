import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { FleetPlan } from './FleetPlan.js'
import { PlacementInvariants } from './PlacementInvariants.js'
import type { ModelServer } from './ModelServer.js'
import { UnmetDemand } from './UnmetDemand.js'

const batch = { capacity: 8, cacheTokens: 1, roomMb: 100, adapterPlaces: 1, loadsPerS: 14, models: [] }
const fleet = FleetPlan.ofNetwork([{ name: 's', connections: 1, warmMs: 0, coldPerS: 0, batch }], [], new Set())

/** The violations of a placement that is held up by the bound of loads at once, while so many loads begin a second. */
function heldUp(loadsPerS: number, forS: number): number {
  const unmet = new UnmetDemand()
  unmet.asked('s:m', 1, 0)
  const inventory = { all: [], fleet, coming: () => false, planOf: () => undefined, known: () => false }
  const demand = { wants: [], unmet, isItsTurn: () => false, hadTheirTurn: () => [] }
  const invariants = new PlacementInvariants(inventory, demand)
  for (let second = 0; second < forS; second++) {
    unmet.blocked('s:m', 'storeConcurrency')
    invariants.check(loadsPerS * second, 1000 * second)
  }
  return invariants.violations
}

test('a bound of loads at once that lets through less than half of the pace is counted, one that fits it is not', () => {
  strictEqual(heldUp(3, 12), 2)
  strictEqual(heldUp(13, 12), 0)
  strictEqual(heldUp(3, 4), 0)
})

/** A server that holds two models of 40 MB and loads one of 30 MB. */
function loadingBeside(roomMb: number): ModelServer {
  const held = (model: string) => ({ model, state: 'loaded' as const, sizeMb: 40, flights: 0 })
  return {
    name: 'i0',
    address: '127.0.0.1:1',
    zone: 'z',
    owner: 's',
    capacity: 1,
    cold: false,
    roomMb,
    places: 1,
    open: true,
    report: {
      server: 'i0',
      incarnation: 'i0',
      madeMs: 0,
      models: [held('s:listed'), held('s:retired')],
      adapters: [],
      parts: [],
      askedMs: 0,
      heardMs: 0,
    },
    askedMs: 0,
    answeredMs: 0,
    task: {
      order: { epoch: 1, number: 1, kind: 'load', model: 's:new', adapter: '', sizeMb: 30 },
      phase: 'sent',
      sinceMs: 0,
      sentMs: 0,
      incarnation: 'i0',
    },
    plan: undefined,
    backoffUntilMs: 0,
    sequence: 0,
    settledMs: 0,
    leavingMs: 0,
    adapterMb: new Map(),
  }
}

test('a load beyond the room that a server has beside all that it holds is counted, once an order', () => {
  const violations = (roomMb: number) => {
    const server = loadingBeside(roomMb)
    const inventory = { all: [server], fleet, coming: () => false, planOf: () => undefined, known: () => true }
    const invariants = new PlacementInvariants(inventory, {
      wants: [],
      unmet: new UnmetDemand(),
      isItsTurn: () => false,
      hadTheirTurn: () => [],
    })
    return [0, 1000, 2000].flatMap((nowMs) => invariants.check(0, nowMs))
  }
  deepStrictEqual(violations(110), [])
  deepStrictEqual(violations(100), ['room: i0 loads s:new, 10 MB more than it has room for'])
})
