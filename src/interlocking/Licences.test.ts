import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Pace } from '../gauge/Pace.js'
import { Licences } from './Licences.js'

test('delivery waits for a majority and for every licence that may still be alive', () => {
  const pace = Pace({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
  const licences = new Licences(pace)
  licences.begin(0)
  const seats = ['a', 'b', 'c']
  const later = 10 * pace.licenceMs
  for (const seat of seats) licences.renew(seat, 's', 'x', 'z', 1, later)
  licences.charterMade(5, later)
  licences.renew('a', 's', 'x', 'z', 5, later + 1)
  strictEqual(licences.delivered(5, seats, later + 2 * pace.licenceMs), false)
  licences.renew('b', 's', 'x', 'z', 5, later + 1)
  strictEqual(licences.delivered(5, seats, later + 2), false)
  strictEqual(licences.renew('c', 's', 'x', 'z', 1, later + pace.adoptMs + 1), false)
  strictEqual(licences.delivered(5, seats, later + 1.2 * pace.licenceMs), true)
})

test('a seat that forgot an acknowledged charter gets no licence until it has it again', () => {
  const pace = Pace({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
  const licences = new Licences(pace)
  licences.begin(0)
  licences.charterMade(5, 0)
  const later = 10 * pace.licenceMs
  for (const seat of ['a', 'b']) strictEqual(licences.renew(seat, 's', 'x', 'z', 5, later), true)
  strictEqual(licences.delivered(5, ['a', 'b'], later), true)
  strictEqual(licences.renew('a', 'again', 'x', 'z', 4, later + 1), false)
  licences.begin(later)
  licences.charterMade(5, -Infinity)
  strictEqual(licences.renew('a', 'again', 'x', 'z', 4, later + 2), false)
})

test('a new leader waits for licences it never saw', () => {
  const pace = Pace({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
  const licences = new Licences(pace)
  licences.begin(1000)
  licences.renew('a', 's', 'x', 'z', 5, 1001)
  licences.renew('b', 's', 'x', 'z', 5, 1001)
  strictEqual(licences.delivered(5, ['a', 'b', 'c'], 1000 + pace.electionMs), false)
  strictEqual(licences.delivered(5, ['a', 'b', 'c'], 1002 + pace.electionMs + 1.1 * pace.licenceMs), true)
})
