/**
 * Schedules that once broke an invariant, each shrunk to what is needed for it. They stay clean.
 */
import { deepStrictEqual } from 'node:assert'
import { test } from 'node:test'
import { runSchedule } from './runSchedule.js'
import type { Schedule } from './Schedule.js'

const quiet = { dropRatio: 0, duplicateRatio: 0, lateRatio: 0, lateMs: 0 }
const kept: { name: string; schedule: Schedule }[] = [
  {
    name: 'a leader that holds its own removal alone is needed to elect the leader that commits it',
    schedule: {
      seed: 214,
      seats: 4,
      founders: 4,
      calmAtMs: 4591,
      network: quiet,
      clockDrift: 0,
      compactEvery: 0,
      events: [
        { atMs: 940, kind: 'leave', target: 'leader' },
        { atMs: 943, kind: 'cut', from: [0], to: [1, 2, 3], bothWays: true, hold: false, forMs: 1882 },
        { atMs: 1091, kind: 'wipe', target: 1, downMs: 77 },
      ],
    },
  },
]

for (const { name, schedule } of kept)
  void test(name, () => {
    deepStrictEqual(runSchedule(schedule), undefined)
  })
