/**
 * The same seeded arrivals under iWS-BFE and under plain LRU: the share of cold starts, the waits of
 * model requests, the weights moved, and what was given up.
 */
import { edgeMulti } from '../placement/edgeMulti.js'
import type { Deployment } from './Deployment.js'
import { lru } from './lru.js'
import { runSimulation } from './runSimulation.js'

export function compare(deployment: Deployment, seeds: readonly number[], minutes: number, say: (line: string) => void): void {
  for (const seed of seeds) {
    for (const [name, policy] of [
      ['iws-bfe', edgeMulti],
      ['lru', lru],
    ] as const) {
      const result = runSimulation({
        deployment,
        seed,
        faults: [],
        calmMs: 0,
        faultMs: 0,
        quietMs: minutes * 60_000,
        broken: '',
        crowd: 0,
        grows: 400,
        together: false,
        uncheckedEpoch: false,
        policy,
      })
      const cold = (100 * result.coldAsks) / Math.max(1, result.modelAsks)
      say(
        `${deployment.name} seed ${String(seed)} ${name}: cold starts ${cold.toFixed(2)} % of ${String(result.modelAsks)}, wait p50 ${String(result.modelP50Ms)} p99 ${String(result.modelP99Ms)} ms, ${String(Math.round(result.weightsMb / 1000))} GB moved in ${String(result.loads)} loads, ${String(result.turnedAway)} given up, ${(100 * result.partsKept).toFixed(1)} % of prompt parts kept${result.broken.length > 0 ? `, BROKE ${result.broken.join()}` : ''}`,
      )
    }
  }
}
