/**
 * Many simulated runs: each seed with each fault alone, with pairs drawn by the seed, with a storm of them
 * that overlap for most of a minute, or with one list of faults. Two disks of three lost at once are left
 * out: the core then stops rather than forgets. A failing run prints the command that replays it; a failing
 * storm is first shrunk to the fewest faults that still break the same rule.
 */
import { edgeMulti } from '../placement/edgeMulti.js'
import type { Deployment } from './Deployment.js'
import { Random } from '../common/Random.js'
import { quantile } from './quantile.js'
import { runSimulation } from './runSimulation.js'
import { SimFault } from './SimFault.js'
import { simFaults } from './simFaults.js'
import type { SimOptions } from './SimOptions.js'

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
const stormFaults = 10
const stormSpanMs = 40_000

function optionsOf(sweep: Sweep, seed: number): SimOptions[] {
  const { deployment, faults, broken, together, faultMs, calmMs } = sweep
  const names = Object.keys(simFaults)
  const random = new Random(seed * 7919)
  const base = {
    deployment,
    seed,
    calmMs,
    faultMs,
    quietMs: 26_000,
    broken,
    crowd: 150,
    grows: 2000,
    uncheckedEpoch: false,
    policy: edgeMulti,
  }
  const storm = faults === 'storm' ? SimFault.storm(names, seed, stormFaults, stormSpanMs) : SimFault.read(faults)
  if (storm !== undefined) return [{ ...base, faults: [], together: false, storm }]
  if (faults === 'each') return names.map((name) => ({ ...base, faults: [name], together }))
  if (faults !== 'pairs') return [{ ...base, faults: faults === '' ? [] : faults.split(','), together }]
  const pairs = names.map((name) => ({ ...base, faults: [name, random.pick(names) ?? name], together: together || random.hit(0.5) }))
  return pairs.filter(
    (one) =>
      one.faults.filter((name) => ['lose-disk', 'swap-seeds', 'lose-two-disks'].includes(name)).length +
        Number(one.faults.includes('lose-two-disks')) <
      2,
  )
}

function brokenBy(options: SimOptions): { rules: Record<string, string[]>; broken: string[]; line: string } {
  try {
    const result = runSimulation(options)
    const acks = [...result.ackMs]
    const line =
      `${String(result.asked)} asked, ${String(result.whole)} whole, ${String(result.turnedAway)} turned away, ${String(result.brokenOff)} broken off, ` +
      `p50 ${String(result.p50Ms)} p99 ${String(result.p99Ms)} ms, ${String(result.loads)} loads, ack p50 ${String(quantile(acks, 0.5))} p99 ${String(quantile(acks, 0.99))} max ${String(Math.max(0, ...acks))} ms, ` +
      `back after ${String(result.recoverMs)} ms, since the fault ${String(result.hurtColdAsks)} cold starts and p99 wait of models ${String(result.hurtP99Ms)} ms, trace ${result.trace.toString(16)}`
    return { rules: result.rules, broken: result.broken, line }
  } catch (error) {
    const what = error instanceof Error ? (error.stack ?? error.message) : String(error)
    return { rules: { threw: [what] }, broken: ['threw'], line: 'threw' }
  }
}

/** Takes faults out one by one for as long as the first broken rule still breaks. */
function shrink(options: SimOptions, rule: string): SimOptions {
  let least = options
  for (const fault of options.storm ?? []) {
    const fewer = { ...least, storm: (least.storm ?? []).filter((one) => one !== fault) }
    if (fewer.storm.length > 0 && brokenBy(fewer).broken.includes(rule)) least = fewer
  }
  return least
}

function replay({ deployment, seed, faults, broken, together, faultMs, calmMs, storm }: SimOptions): string {
  const list = storm === undefined ? faults.join(',') : SimFault.write(storm)
  const flags = [
    list === '' ? '' : `--faults ${list}`,
    broken === '' ? '' : `--broken ${broken}`,
    together ? '--together' : '',
    faultMs === 4000 ? '' : `--fault-ms ${String(faultMs)}`,
    calmMs === 6000 ? '' : `--calm-ms ${String(calmMs)}`,
  ]
  return ['simulator sim', deployment.name, `--seed ${String(seed)}`, ...flags.filter((one) => one !== '')].join(' ')
}

export function sweep(given: Sweep): boolean {
  const { say } = given
  let runs = 0
  let failures = 0
  for (let seed = given.seed; seed < given.seed + given.seeds; seed++) {
    for (const options of optionsOf(given, seed)) {
      runs += 1
      const name = options.storm === undefined ? options.faults.join('+') : 'storm'
      const { rules, broken, line } = brokenBy(options)
      say(`${broken.length === 0 ? 'pass' : 'FAIL'} seed ${String(seed)} ${name}: ${line}`)
      const [first] = broken
      if (first === undefined) continue
      failures += 1
      for (const rule of broken) say(`  ${rule}: ${String(rules[rule]?.length ?? 0)}, ${(rules[rule] ?? []).slice(0, 3).join('; ')}`)
      say(`  replay: ${replay(options.storm === undefined ? options : shrink(options, first))}`)
    }
  }
  say(`${String(runs - failures)} passed, ${String(failures)} failed`)
  return failures === 0
}
