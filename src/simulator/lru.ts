/**
 * The baseline that measurements compare with: the least recently requested makes way, nothing is
 * loaded ahead.
 */
import { Mechanisms } from '../common/Mechanisms.js'
import type { Policy } from '../placement/Policy.js'

export const lru: Policy = {
  foresees: false,
  mechanisms: Mechanisms.all,
  evict: (newcomer, residents, free) => {
    const victims: { key: string; score: number }[] = []
    let room = free
    for (const one of [...residents].sort((a, b) => a.lastMs - b.lastMs)) {
      if (room >= newcomer.size) break
      victims.push({ key: one.key, score: -one.lastMs })
      room += one.size
    }
    return room >= newcomer.size ? victims : undefined
  },
}
