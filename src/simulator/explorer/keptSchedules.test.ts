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
      spreadRatio: 1,
      bulkBytes: 0,
      compactEvery: 0,
      events: [
        { atMs: 940, kind: 'leave', target: 'leader' },
        { atMs: 943, kind: 'cut', from: [0], to: [1, 2, 3], bothWays: true, hold: false, forMs: 1882 },
        { atMs: 1091, kind: 'wipe', target: 1, downMs: 77 },
      ],
    },
  },
  {
    name: 'a voter that is alone in its cluster leads only once its own vote is synced',
    schedule: {
      seed: 20011848,
      seats: 4,
      founders: 2,
      calmAtMs: 2747.586032235995,
      network: { dropRatio: 0, duplicateRatio: 0, lateRatio: 0.24155469560064374, lateMs: 577.6506667397916 },
      clockDrift: 0.01073885945370421,
      spreadRatio: 1,
      bulkBytes: 0,
      compactEvery: 8,
      events: [
        { kind: 'leave', target: 'leader', atMs: 301.6440408683861 },
        { kind: 'stall', target: 1, forMs: 1535.8152783010155, atMs: 1210.7603437387206 },
        { kind: 'write', id: 'operation 8', conditional: false, resendMs: 399.0616042795591, pick: 6, atMs: 1970.8768601980391 },
        { kind: 'write', id: 'operation 2', conditional: false, resendMs: 404.8932394548319, pick: 3, atMs: 2271.295987014773 },
        { kind: 'crash', target: 1, when: 'beforeSync', skip: 1, keep: 'lost', downMs: 242.48368494212627, atMs: 2444.5644823946177 },
      ],
    },
  },
]

for (const { name, schedule } of kept)
  void test(name, () => {
    deepStrictEqual(runSchedule(schedule), undefined)
  })
