import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { Leases } from './Leases.js'

const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
const term = 3
type Renewal = Parameters<Leases['renew']>[0]

/** A renewal as a live session sends it; it echoes a lease that was granted at `echoedMs`, if any. */
function renewal(seat: string, session: string, adopted: number, sentMs: number, echoedMs?: number): Renewal {
  const echo = echoedMs === undefined ? undefined : { term, grantedMs: echoedMs }
  return { seat, session, address: 'x', zone: 'z', adopted, sentMs, echo }
}

/** One that has a lease renews it: the first renewal is not credited, the one that echoes its lease is. */
function renewed(leases: Leases, seat: string, session: string, adopted: number, nowMs: number): string {
  leases.renew(renewal(seat, session, adopted, nowMs), nowMs)
  return leases.renew(renewal(seat, session, adopted, nowMs, nowMs), nowMs)
}

test('delivery waits for a majority and for every lease that may still be alive', () => {
  const leases = new Leases(timings)
  leases.begin(term, 0)
  const seats = ['a', 'b', 'c']
  const later = 10 * timings.leaseMs
  for (const seat of seats) renewed(leases, seat, 's', 1, later)
  leases.charterMade(5, later)
  renewed(leases, 'a', 's', 5, later + 1)
  strictEqual(leases.delivered(5, seats, later + 2 * timings.leaseMs), false)
  renewed(leases, 'b', 's', 5, later + 1)
  strictEqual(leases.delivered(5, seats, later + 2), false)
  strictEqual(renewed(leases, 'c', 's', 1, later + timings.adoptMs + 1), 'behind')
  strictEqual(leases.delivered(5, seats, later + 1.2 * timings.leaseMs), true)
})

test('a seat that forgot an acknowledged charter gets no lease until it has it again', () => {
  const leases = new Leases(timings)
  leases.begin(term, 0)
  leases.charterMade(5, 0)
  const later = 10 * timings.leaseMs
  for (const seat of ['a', 'b']) strictEqual(renewed(leases, seat, 's', 5, later), 'granted')
  strictEqual(leases.delivered(5, ['a', 'b'], later), true)
  strictEqual(renewed(leases, 'a', 'again', 4, later + 1), 'behind')
  leases.begin(term, later)
  leases.charterMade(5, -Infinity)
  strictEqual(renewed(leases, 'a', 'again', 4, later + 2), 'behind')
})

test('a new leader waits for leases it never saw', () => {
  const leases = new Leases(timings)
  leases.begin(term, 1000)
  renewed(leases, 'a', 's', 5, 1001)
  renewed(leases, 'b', 's', 5, 1001)
  strictEqual(leases.delivered(5, ['a', 'b', 'c'], 1000 + timings.electionMs), false)
  strictEqual(leases.delivered(5, ['a', 'b', 'c'], 1002 + timings.electionMs + 1.1 * timings.leaseMs), true)
})

test('only a renewal that echoes a lease of this term counts as adoption', () => {
  const leases = new Leases(timings)
  leases.begin(term, 0)
  const later = 10 * timings.leaseMs
  const counts = (nowMs: number) => leases.adopted(5, nowMs, nowMs)
  strictEqual(leases.renew(renewal('a', 's', 5, 1), later), 'granted')
  strictEqual(counts(later), false)
  leases.renew({ ...renewal('a', 's', 5, 2), echo: { term: term - 1, grantedMs: later } }, later + 1)
  strictEqual(counts(later + 1), false)
  leases.renew(renewal('a', 's', 5, 3, later), later + 2)
  strictEqual(counts(later + 2), true)
})

test('a renewal that was held up changes nothing', () => {
  const leases = new Leases(timings)
  leases.begin(term, 0)
  const later = 10 * timings.leaseMs
  renewed(leases, 'a', 's', 5, later)
  const before = leases.seats
  strictEqual(leases.renew(renewal('a', 's', 9, later + 1, later), later + 1.01 * timings.leaseMs), 'ignored')
  strictEqual(leases.renew(renewal('a', 's', 4, later - 1, later), later + 1), 'ignored')
  strictEqual(leases.renew(renewal('a', 's', 4, later + 5, later - 1), later + 5), 'ignored')
  strictEqual(leases.renew(renewal('a', 's', 4, later + 5, later + 9), later + 5), 'ignored')
  deepStrictEqual(leases.seats, before)
})

test("an earlier life's renewal is not taken for the new life's, before or after that one has shown its lease", () => {
  const later = 10 * timings.leaseMs
  for (const shown of [false, true]) {
    const leases = new Leases(timings)
    leases.begin(term, 0)
    renewed(leases, 'a', 'old', 1, later)
    strictEqual(leases.renew(renewal('a', 'new', 0, 1), later + 50), 'granted')
    if (shown) strictEqual(leases.renew(renewal('a', 'new', 0, 2, later + 50), later + 51), 'granted')
    leases.renew(renewal('a', 'old', 7, later + 40, later), later + 60)
    strictEqual(leases.adopted(7, later + 60, later + 60), false)
    leases.renew(renewal('a', 'new', 7, 3, later + 50), later + 61)
    strictEqual(leases.adopted(7, later + 61, later + 61), true)
  }
})

test('a late renewal without an echo holds the live session up by one renewal at most', () => {
  const leases = new Leases(timings)
  leases.begin(term, 0)
  const later = 10 * timings.leaseMs
  renewed(leases, 'a', 'live', 5, later)
  leases.renew(renewal('a', 'before', 9, 1), later + 10)
  strictEqual(leases.adopted(5, later + 10, later + 10), false)
  strictEqual(leases.renew(renewal('a', 'live', 5, later + 20, later), later + 20), 'granted')
  strictEqual(leases.renew(renewal('a', 'live', 5, later + 30, later + 20), later + 30), 'granted')
  strictEqual(leases.adopted(5, later + 30, later + 30), true)
})

test('no order of arrival credits a stamp that no session works by which may be alive', () => {
  for (let seed = 1; seed <= 400; seed++) {
    const random = new Random(seed)
    const leases = new Leases(timings)
    leases.begin(term, 0)
    let nowMs = 10 * timings.leaseMs
    let life = { session: 'life-0', adopted: 0, originMs: random.between(0, 1e6), echoedMs: -Infinity }
    const flying: { atMs: number; renewal: Renewal }[] = []
    for (let step = 0; step < 200; step++) {
      nowMs += random.between(1, 40)
      if (random.hit(0.06)) life = { session: `life-${String(step)}`, adopted: 0, originMs: random.between(0, 1e6), echoedMs: -Infinity }
      if (random.hit(0.3)) life.adopted += 1
      const echoedMs = nowMs - life.echoedMs > timings.echoMs ? undefined : life.echoedMs
      const held = random.hit(0.3) ? random.between(50, 3000) : random.between(1, 20)
      flying.push({ atMs: nowMs + held, renewal: renewal('a', life.session, life.adopted, life.originMs + nowMs, echoedMs) })
      for (const one of flying.filter((each) => each.atMs <= nowMs)) {
        flying.splice(flying.indexOf(one), 1)
        const outcome = leases.renew(one.renewal, nowMs)
        if (outcome !== 'ignored' && one.renewal.session === life.session && random.hit(0.8)) life.echoedMs = nowMs
        const credited = leases.seats[0]?.[1].adopted ?? 0
        // A life that has no lease from this leader yet does no work.
        if (life.echoedMs > -Infinity && credited > life.adopted) throw new Error(`seed ${String(seed)}: credited ${String(credited)}`)
      }
    }
  }
})
