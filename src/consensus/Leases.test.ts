import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Timings } from '../common/Timings.js'
import { Leases } from './Leases.js'

test('delivery waits for a majority and for every lease that may still be alive', () => {
  const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
  const leases = new Leases(timings)
  leases.begin(0)
  const seats = ['a', 'b', 'c']
  const later = 10 * timings.leaseMs
  for (const seat of seats) leases.renew(seat, 's', 'x', 'z', 1, later)
  leases.charterMade(5, later)
  leases.renew('a', 's', 'x', 'z', 5, later + 1)
  strictEqual(leases.delivered(5, seats, later + 2 * timings.leaseMs), false)
  leases.renew('b', 's', 'x', 'z', 5, later + 1)
  strictEqual(leases.delivered(5, seats, later + 2), false)
  strictEqual(leases.renew('c', 's', 'x', 'z', 1, later + timings.adoptMs + 1), false)
  strictEqual(leases.delivered(5, seats, later + 1.2 * timings.leaseMs), true)
})

test('a seat that forgot an acknowledged charter gets no lease until it has it again', () => {
  const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
  const leases = new Leases(timings)
  leases.begin(0)
  leases.charterMade(5, 0)
  const later = 10 * timings.leaseMs
  for (const seat of ['a', 'b']) strictEqual(leases.renew(seat, 's', 'x', 'z', 5, later), true)
  strictEqual(leases.delivered(5, ['a', 'b'], later), true)
  strictEqual(leases.renew('a', 'again', 'x', 'z', 4, later + 1), false)
  leases.begin(later)
  leases.charterMade(5, -Infinity)
  strictEqual(leases.renew('a', 'again', 'x', 'z', 4, later + 2), false)
})

test('a new leader waits for leases it never saw', () => {
  const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
  const leases = new Leases(timings)
  leases.begin(1000)
  leases.renew('a', 's', 'x', 'z', 5, 1001)
  leases.renew('b', 's', 'x', 'z', 5, 1001)
  strictEqual(leases.delivered(5, ['a', 'b', 'c'], 1000 + timings.electionMs), false)
  strictEqual(leases.delivered(5, ['a', 'b', 'c'], 1002 + timings.electionMs + 1.1 * timings.leaseMs), true)
})
