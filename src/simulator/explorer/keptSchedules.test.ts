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
  {
    name: 'a member that restarts keeps to the leader that it may have confirmed just before',
    schedule: {
      seed: 37899,
      seats: 4,
      founders: 3,
      calmAtMs: 3867.809315538034,
      network: { dropRatio: 0, duplicateRatio: 0.05353515059687197, lateRatio: 0.004253970645368099, lateMs: 209.80799803626724 },
      clockDrift: 0.007903295541182161,
      spreadRatio: 1,
      bulkBytes: 0,
      compactEvery: 0,
      events: [
        { kind: 'read', id: 'operation 1', pick: 5, atMs: 486.28989214663545 },
        { kind: 'role', action: 'vacate', seat: 2, pick: 6, atMs: 582.9240358922121 },
        { kind: 'write', id: 'operation 0', conditional: true, resendMs: 468.6647425638512, pick: 6, atMs: 600.240577467607 },
        { kind: 'cut', from: 'leader', to: [0, 2, 3], bothWays: true, hold: false, forMs: 1821.3763320585713, atMs: 704.4995967433621 },
        { kind: 'write', id: 'operation 7', conditional: true, resendMs: 505.539073033724, pick: 5, atMs: 978.3414282196413 },
        { kind: 'wipe', target: 3, downMs: 735.6163468486629, atMs: 1152.3966900146547 },
        { kind: 'cut', from: 'leader', to: [0, 1], bothWays: true, hold: false, forMs: 2232.7843041392043, atMs: 1896.2151123107046 },
        { kind: 'read', id: 'operation 5', pick: 1, atMs: 2024.3285949322192 },
        { kind: 'crash', target: 2, when: 'beforeSync', skip: 1, keep: 'torn', downMs: 38.52995810774155, atMs: 2465.4889421900657 },
      ],
    },
  },
]

for (const { name, schedule } of kept)
  void test(name, () => {
    deepStrictEqual(runSchedule(schedule), undefined)
  })
