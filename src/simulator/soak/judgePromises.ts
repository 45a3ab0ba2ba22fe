/**
 * A request that was refused has not run, and never does.
 */
import type { SoakLog } from './SoakLog.js'
import { soakPromises } from './soakPromises.js'

export function judgePromises({ tries, runs }: SoakLog): string[] {
  const ran = new Map(runs.map((run) => [run.id, run]))
  return tries.flatMap((one) => {
    const run = ran.get(one.id)
    if (run === undefined || !soakPromises.has(one.status)) return []
    return [`${one.id} (${one.route}): refused with ${String(one.status)} by ${one.gateway}, yet it ran at ${run.server}`]
  })
}
