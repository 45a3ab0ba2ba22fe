/**
 * Explores many schedules one after the other, each drawn from its own seed, and tells what was found.
 */
import { ClusterParts } from './ClusterParts.js'
import type { Finding } from './Finding.js'
import { generateSchedule } from './generateSchedule.js'
import { runSchedule } from './runSchedule.js'

export function explore(firstSeed: number, count: number, found: (finding: Finding) => boolean, parts = ClusterParts): number {
  for (let at = 0; at < count; at++) {
    const finding = runSchedule(generateSchedule(firstSeed + at), parts)
    if (finding !== undefined && !found(finding)) return at + 1
  }
  return count
}
