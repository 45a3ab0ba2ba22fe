import { strictEqual } from 'node:assert'
import { test } from 'node:test'
import { FleetPlan } from './FleetPlan.js'
import { PlacementInvariants } from './PlacementInvariants.js'
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
