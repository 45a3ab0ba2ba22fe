/**
 * The baseline that measurements compare with: the least recently requested makes way, nothing is
 * loaded ahead.
 */
import { deepStrictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'
import type { Policy } from '../timetable/Policy.js'

export const lru: Policy = {
  foresees: false,
  evict: (newcomer, tenants, free) => {
    const victims: { key: string; score: number }[] = []
    let room = free
    for (const one of [...tenants].sort((a, b) => a.lastMs - b.lastMs)) {
      if (room >= newcomer.size) break
      victims.push({ key: one.key, score: -one.lastMs })
      room += one.size
    }
    return room >= newcomer.size ? victims : undefined
  },
}

proof(import.meta.url, {
  'the least recently requested leaves first': () => {
    const tenant = (key: string, lastMs: number) => ({
      key,
      lastMs,
      nextMs: 0,
      windowFromMs: 0,
      windowToMs: 0,
      surprise: 0,
      size: 1,
      doubled: false,
    })
    const victims = lru.evict(
      { nextMs: 0, windowFromMs: 0, windowToMs: 0, size: 2 },
      [tenant('new', 9), tenant('old', 1), tenant('mid', 5)],
      0,
      0,
      0,
    )
    deepStrictEqual(
      victims?.map((one) => one.key),
      ['old', 'mid'],
    )
  },
})
