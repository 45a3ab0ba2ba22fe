/**
 * Draws a schedule from a seed: a cluster of three to seven nodes, its network, and faults and requests
 * over a few seconds.
 */
import { Random } from '../../common/Random.js'
import type { Schedule } from './Schedule.js'
import type { ScheduleEvent } from './ScheduleEvent.js'

type Fault = (random: Random, seats: number) => Without<ScheduleEvent>
type Without<T> = T extends unknown ? Omit<T, 'atMs'> : never

const beginMs = 150
const spanMs = { low: 1500, high: 4500 }
const leaderRatio = 0.4

function target(random: Random, seats: number): number | 'leader' {
  return random.hit(leaderRatio) ? 'leader' : random.below(seats)
}

function cut(random: Random, seats: number): Without<ScheduleEvent> {
  const all = Array.from({ length: seats }, (_, number) => number)
  const from = random.hit(0.5) ? [random.below(seats)] : all.filter(() => random.hit(0.5))
  const to = all.filter((number) => !from.includes(number) && random.hit(0.85))
  return { kind: 'cut', from, to, bothWays: random.hit(0.6), hold: random.hit(0.5), forMs: random.between(100, 2500) }
}

function crash(random: Random, seats: number): Without<ScheduleEvent> {
  const points = ['now', 'beforeWrite', 'beforeSync', 'beforeSends'] as const
  const kept = ['all', 'lost', 'torn'] as const
  return {
    kind: 'crash',
    target: target(random, seats),
    when: random.pick(points) ?? 'now',
    skip: random.below(6),
    keep: random.pick(kept) ?? 'lost',
    downMs: random.hit(0.5) ? random.between(1, 60) : random.between(60, 2000),
  }
}

const faults: { weight: number; make: Fault }[] = [
  { weight: 5, make: cut },
  { weight: 6, make: crash },
  { weight: 1, make: (random) => ({ kind: 'lossy', ratio: random.between(0.1, 0.6), forMs: random.between(200, 1500) }) },
  { weight: 2, make: (random, seats) => ({ kind: 'wipe', target: target(random, seats), downMs: random.between(1, 800) }) },
  { weight: 1, make: (random, seats) => ({ kind: 'freeze', target: target(random, seats), forMs: random.between(100, 2500) }) },
  { weight: 1, make: (random, seats) => ({ kind: 'stall', target: target(random, seats), forMs: random.between(50, 2000) }) },
  {
    weight: 1,
    make: (random, seats) => ({
      kind: 'slowDisk',
      target: target(random, seats),
      byMs: random.between(5, 120),
      forMs: random.between(200, 3000),
    }),
  },
  { weight: 2, make: (random, seats) => ({ kind: 'compact', target: target(random, seats) }) },
  { weight: 1, make: (random, seats) => ({ kind: 'join', seat: random.below(seats) }) },
  { weight: 2, make: (random, seats) => ({ kind: 'leave', target: target(random, seats) }) },
]
const requests: { weight: number; make: (random: Random, seats: number, id: string) => Without<ScheduleEvent> }[] = [
  {
    weight: 5,
    make: (random, _, id) => ({
      kind: 'write',
      id,
      conditional: random.hit(0.5),
      resendMs: random.between(30, 600),
      pick: random.below(8),
    }),
  },
  { weight: 4, make: (random, _, id) => ({ kind: 'read', id, pick: random.below(8) }) },
  {
    weight: 2,
    make: (random, seats) => ({
      kind: 'role',
      action: random.pick(['win', 'vacate', 'dispatch', 'staleDispatch'] as const) ?? 'win',
      seat: random.below(seats),
      pick: random.below(8),
    }),
  },
]

function draw<T extends { weight: number }>(random: Random, from: readonly T[]): T | undefined {
  let left = random.next() * from.reduce((sum, one) => sum + one.weight, 0)
  return from.find((one) => (left -= one.weight) < 0)
}

export function generateSchedule(seed: number): Schedule {
  const random = new Random(seed)
  const seats = 3 + random.below(5)
  const founders = random.hit(0.6) ? seats : 1 + random.below(seats)
  const calmAtMs = beginMs + random.between(spanMs.low, spanMs.high)
  const events: ScheduleEvent[] = []
  const add = (event: Without<ScheduleEvent> | undefined) => {
    if (event !== undefined) events.push({ ...event, atMs: random.between(beginMs, calmAtMs) })
  }
  const faultCount = 3 + random.below(10)
  for (let at = 0; at < faultCount; at++) add(draw(random, faults)?.make(random, seats))
  const requestCount = 6 + random.below(12)
  for (let at = 0; at < requestCount; at++) add(draw(random, requests)?.make(random, seats, `operation ${String(at)}`))
  return {
    seed,
    seats,
    founders,
    calmAtMs,
    network: {
      dropRatio: random.hit(0.5) ? 0 : random.between(0, 0.1),
      duplicateRatio: random.hit(0.5) ? 0 : random.between(0, 0.2),
      lateRatio: random.hit(0.3) ? 0 : random.between(0, 0.3),
      lateMs: random.between(5, 600),
    },
    clockDrift: 0.05 * random.next(),
    compactEvery: random.hit(0.5) ? 0 : 2 + random.below(10),
    events: events.sort((a, b) => a.atMs - b.atMs),
  }
}
