import { test } from 'node:test'
import { deepStrictEqual, ok } from 'node:assert'
import { Bounds } from '../common/Bounds.js'
import { digest } from '../common/digest.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { Leases } from '../consensus/Leases.js'
import { AliveNodes } from './AliveNodes.js'

const timings = Timings(Bounds.parse({}))

/** The list as made from all leases. */
function scanned(leases: Leases, nowMs: number) {
  return leases.seats
    .filter(([name]) => leases.alive(name, nowMs))
    .map(([name, held]) => ({ name, address: held.address, role: 'agent', zone: held.zone }))
    .sort((a, b) => (a.name < b.name ? -1 : 1))
}

test('however nodes come, move, fall silent, return and are forgotten, the list is that of all leases', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = new Random(seed)
    const leases = new Leases(timings)
    const alive = new AliveNodes(leases)
    let nowMs = 0
    let kept = 0
    let before = alive.list(nowMs).nodes
    for (let turn = 0; turn < 600; turn++) {
      nowMs += random.between(0, random.hit(0.02) ? 3 * timings.leaseMs : timings.renewMs / 4)
      const name = `n-${String(random.below(9))}`
      const address = `10.0.0.${String(random.hit(0.05) ? 2 : 1)}:7`
      const zone = random.hit(0.05) ? 'b' : 'a'
      if (random.hit(0.9)) {
        leases.renew({ seat: name, session: 's', address, zone, adopted: 1, sentMs: nowMs, echo: { term: 1, grantedMs: nowMs } }, nowMs)
        alive.heard(name, address, zone)
      }
      if (random.hit(0.05)) leases.forget(nowMs)
      if (random.hit(0.01)) {
        leases.begin(1, nowMs)
        alive.clear()
      }
      const { nodes, sum } = alive.list(nowMs)
      deepStrictEqual(nodes, scanned(leases, nowMs))
      deepStrictEqual(sum, digest(JSON.stringify(nodes)))
      if (nodes === before) kept += 1
      before = nodes
    }
    ok(kept > 100, `the list was kept at ${String(kept)} of 600 turns`)
  }
})
