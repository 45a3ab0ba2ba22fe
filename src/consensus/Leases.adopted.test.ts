import { test } from 'node:test'
import { ok, strictEqual } from 'node:assert'
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { Leases } from './Leases.js'

const timings = Timings(Bounds.parse({}))
const lostAfterMs = 1.1 * timings.leaseMs

/** The verdict by a look at every seat. */
function scanned(leases: Leases, stamp: number, sinceMs: number, nowMs: number): boolean {
  if (nowMs - sinceMs >= timings.deliverMs) return true
  if (nowMs <= leases.graceUntilMs) return false
  return leases.seats.every(([, held]) => held.adopted >= stamp || nowMs - held.grantedMs > lostAfterMs)
}

test('however seats renew, fall silent, start over and are forgotten, a stamp is adopted when a look at all of them says so', () => {
  let yes = 0
  let no = 0
  for (let seed = 1; seed <= 30; seed++) {
    const random = new Random(seed)
    const leases = new Leases(timings)
    leases.begin(1, 0)
    let nowMs = leases.graceUntilMs + 1
    for (let turn = 1; turn <= 400; turn++) {
      nowMs += random.between(0, random.hit(0.02) ? 3 * timings.leaseMs : timings.renewMs / 8)
      const seat = `n-${String(random.below(8))}`
      const adopted = random.hit(0.03) ? 0 : turn
      const echo = random.hit(0.05) ? undefined : { term: 1, grantedMs: nowMs }
      leases.renew({ seat, session: 's', address: 'x', zone: 'z', adopted, sentMs: nowMs, echo }, nowMs)
      if (random.hit(0.05)) leases.forget(nowMs)
      if (random.hit(0.005)) leases.begin(1, nowMs)
      for (let count = 0; count < 3; count++) {
        const stamp = Math.max(1, turn - random.below(40))
        const sinceMs = nowMs - random.between(0, 1.1 * timings.deliverMs)
        const verdict = leases.adopted(stamp, sinceMs, nowMs)
        strictEqual(verdict, scanned(leases, stamp, sinceMs, nowMs))
        if (verdict) yes += 1
        else no += 1
      }
    }
  }
  ok(yes > 1000 && no > 1000, `${String(yes)} adopted, ${String(no)} not`)
})
