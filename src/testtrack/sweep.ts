/**
 * Many simulated runs: each seed with each fault alone, with pairs drawn by the seed, or with one list
 * of faults. Two disks of three lost at once are left out: the core then stops rather than forgets. A
 * failing run prints the command that replays it.
 */
import { edgeMulti } from '../timetable/edgeMulti.js'
import type { Deployment } from './Deployment.js'
import { Chance } from '../gauge/Chance.js'
import { runSimulation } from './runSimulation.js'
import { simFaults } from './simFaults.js'

interface Sweep {
  deployment: Deployment
  seed: number
  seeds: number
  faults: string
  broken: string
  together: boolean
  faultMs: number
  calmMs: number
  say: (line: string) => void
}

export function sweep({ deployment, seed, seeds, faults, broken, together, faultMs, calmMs, say }: Sweep): boolean {
  const names = Object.keys(simFaults)
  let runs = 0
  let failures = 0
  for (let at = seed; at < seed + seeds; at++) {
    const chance = new Chance(at * 7919)
    const lists =
      faults === 'each'
        ? names.map((name) => [name])
        : faults === 'pairs'
          ? names.map((name) => [name, chance.pick(names) ?? name])
          : [faults === '' ? [] : faults.split(',')]
    for (const list of lists) {
      if (list.filter((one) => one === 'lose-disk').length > 1) continue
      runs += 1
      const atOnce = together || (faults === 'pairs' && chance.hit(0.5))
      const replay = `testtrack sim ${deployment.name} --seed ${String(at)}${list.length > 0 ? ` --faults ${list.join(',')}` : ''}${broken === '' ? '' : ` --broken ${broken}`}${atOnce ? ' --together' : ''}${faultMs === 4000 ? '' : ` --fault-ms ${String(faultMs)}`}${calmMs === 6000 ? '' : ` --calm-ms ${String(calmMs)}`}`
      try {
        const result = runSimulation({
          deployment,
          seed: at,
          faults: list,
          calmMs,
          faultMs,
          quietMs: 26_000,
          broken,
          crowd: 150,
          together: atOnce,
          uncheckedTenure: false,
          policy: edgeMulti,
        })
        const acks = [...result.ackMs].sort((a, b) => a - b)
        say(
          `${result.broken.length === 0 ? 'pass' : 'FAIL'} seed ${String(at)} ${list.join('+')}: ${String(result.asked)} asked, ${String(result.whole)} whole, ${String(result.turnedAway)} turned away, ${String(result.brokenOff)} broken off, p50 ${String(result.p50Ms)} p99 ${String(result.p99Ms)} ms, ${String(result.loads)} loads, ack p50 ${String(acks[Math.floor(acks.length / 2)] ?? 0)} max ${String(acks.at(-1) ?? 0)} ms, back after ${String(result.recoverMs)} ms, since the fault ${String(result.hurtColdAsks)} cold starts and p99 wait of models ${String(result.hurtP99Ms)} ms, trace ${result.trace.toString(16)}`,
        )
        if (result.broken.length === 0) continue
        for (const rule of result.broken)
          say(`  ${rule}: ${String(result.rules[rule]?.length ?? 0)}, ${(result.rules[rule] ?? []).slice(0, 3).join('; ')}`)
      } catch (error) {
        say(`FAIL seed ${String(at)} ${list.join('+')}: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`)
      }
      failures += 1
      say(`  replay: ${replay}`)
    }
  }
  say(`${String(runs - failures)} passed, ${String(failures)} failed`)
  return failures === 0
}
