/**
 * One simulated run from founding to verdict: the core founds itself, an operator puts the charter,
 * traffic begins, faults come one after another while operators write, then it is quiet for longer
 * than the recovery bound, everything is read back, and the invariants are checked.
 */
import { z } from 'zod'
import type { Charter } from '../common/Charter.js'
import { checkInvariants } from './checkInvariants.js'
import { quantile } from './quantile.js'
import { simFaults } from './simFaults.js'
import type { Observation } from './Observation.js'
import type { SimOptions } from './SimOptions.js'
import { Simulation } from './Simulation.js'

interface Result {
  rules: Record<string, string[]>
  observations: readonly Observation[]
  broken: string[]
  trace: number
  lastedMs: number
  asked: number
  whole: number
  turnedAway: number
  brokenOff: number
  p50Ms: number
  p99Ms: number
  loads: number
  weightsMb: number
  ackMs: number[]
  recoverMs: number
  modelAsks: number
  coldAsks: number
  modelP50Ms: number
  modelP99Ms: number
  hurtColdAsks: number
  hurtP99Ms: number
  partsKept: number
}

export function runSimulation(options: SimOptions): Result {
  const sim = new Simulation(options)
  const { clock, random, observations, see } = sim
  const { deployment, faults } = options
  const charter = bentCharter(deployment.charter, options.broken)
  const text = `${JSON.stringify(charter, null, 2)}\n`
  let stamp = 0
  sim.operators.write({ operation: 'first', action: 'charter.put', branch: '', text, ifMatch: -1 }, (status, at) => {
    if (status === 200) stamp = at
  })
  while (stamp === 0 && clock.nowMs < 60_000 && clock.turn());
  if (stamp === 0) throw new Error('the first charter was not acknowledged within a minute')
  const startMs = clock.nowMs
  const stormMs = Math.max(0, ...(options.storm ?? []).map((one) => one.fromMs + one.lastsMs))
  const quietFromMs = startMs + options.calmMs + (options.storm === undefined ? faults.length * options.faultMs * 1.5 : stormMs)
  const endMs = quietFromMs + options.quietMs
  sim.callers.begin(endMs - 8500)

  const bring = (name: string, fromMs: number, lastsMs: number) => {
    const fault = simFaults[name]
    if (fault === undefined) throw new Error(`no fault is named ${name}`)
    clock.at(fromMs, () => {
      clock.note(`fault ${name}`)
      see({ kind: 'faultBegan', atMs: clock.nowMs, fault: name })
      sim.callers.hurtFromMs = Math.min(sim.callers.hurtFromMs, clock.nowMs)
      const end = fault(sim)
      clock.at(fromMs + lastsMs, () => {
        end()
        see({ kind: 'faultClosed', atMs: clock.nowMs, fault: name })
      })
    })
  }
  for (const one of options.storm ?? []) bring(one.name, startMs + options.calmMs + one.fromMs, one.lastsMs)
  if (options.storm === undefined) {
    faults.forEach((name, at) => {
      const fromMs =
        startMs + options.calmMs + (options.together ? 0 : at * options.faultMs * 1.5) + random.between(0, options.faultMs * 0.4)
      bring(name, fromMs, options.faultMs)
    })
  }
  operators(sim, startMs + options.calmMs / 2, quietFromMs)
  clock.until(endMs)

  readAll(sim)
  const { defaults, fleet, partners } = deployment.charter
  const kinds = new Map(deployment.servers.map((one) => [one.name, one.kind]))
  const services = new Map(
    Object.values(partners).flatMap((branch) => Object.entries(branch.services).map(([name, service]) => [name, service.servers])),
  )
  const rules = checkInvariants({
    visitors: false,
    observations,
    bounds: sim.bounds,
    zones: new Map(deployment.servers.map((one) => [one.name, one.zone])),
    sizes: deployment.sizes,
    leastAsked: leastAsked(sim, endMs - 8500 - startMs),
    longestRunMs: sim.callers.longestRunMs,
    allowed: (service, server) => services.get(service)?.includes(server) ?? kinds.get(server) === 'model',
    paceMbPerS: fleet.storePaceMbPerS,
    burstMb: fleet.storeBurstMb,
    retryRatio: 0.2,
    retryAllowance: defaults.retryAllowance,
    slackMs: 150,
  })
  const count = (kind: string) => observations.filter((one) => one.kind === kind).length
  const wrote = new Map(observations.flatMap((one) => (one.kind === 'wrote' ? [[one.operation, one.atMs]] : [])))
  return {
    rules,
    observations,
    broken: Object.entries(rules)
      .filter(([, defects]) => defects.length > 0)
      .map(([rule]) => rule),
    trace: clock.trace,
    lastedMs: clock.nowMs,
    asked: count('asked'),
    whole: count('whole'),
    turnedAway: count('turnedAway'),
    brokenOff: count('brokenOff'),
    p50Ms: quantile(sim.callers.waits, 0.5),
    p99Ms: quantile(sim.callers.waits, 0.99),
    loads: observations.filter((one) => one.kind === 'ordered' && one.taken && one.order.startsWith('load')).length,
    weightsMb: observations.reduce((sum, one) => sum + (one.kind === 'drew' ? one.mb : 0), 0),
    ackMs: observations.flatMap((one) =>
      one.kind === 'acknowledged' ? [Math.round(one.atMs - (wrote.get(one.operation) ?? one.atMs))] : [],
    ),
    recoverMs: recovery(sim),
    modelAsks: sim.callers.modelAsks,
    coldAsks: sim.callers.coldAsks,
    modelP50Ms: quantile(sim.callers.modelWaits, 0.5),
    modelP99Ms: quantile(sim.callers.modelWaits, 0.99),
    hurtColdAsks: sim.callers.hurtColdAsks,
    hurtP99Ms: quantile(sim.callers.hurtWaits, 0.99),
    partsKept: sim.callers.partsKept / Math.max(1, sim.callers.parts),
  }
}

/** Half of what the courses would bring while some proxy is up, so that a run that asked almost nothing proves nothing. */
function leastAsked(sim: Simulation, trafficMs: number): number {
  const perS = sim.options.deployment.courses.reduce((sum, course) => sum + course.perS, 0)
  return (
    0.5 *
    perS *
    (Math.max(0, trafficMs - sim.options.faultMs) / 1000) *
    (sim.options.faults.includes('stop-all') || sim.options.storm !== undefined ? 0.5 : 1)
  )
}

/** Where a run is to break the places, pace or allowance of the charter, the system is told a charter that is too generous. */
function bentCharter(charter: Charter, broken: string): Charter {
  const { fleet } = charter
  if (broken === 'store')
    return { ...charter, fleet: { ...fleet, storePaceMbPerS: 100 * fleet.storePaceMbPerS, storeBurstMb: 100 * fleet.storeBurstMb } }
  if (broken === 'budget') return { ...charter, defaults: { ...charter.defaults, retryAllowance: 1000 } }
  if (broken !== 'places') return charter
  return {
    ...charter,
    fleet: {
      ...fleet,
      servers: Object.fromEntries(Object.entries(fleet.servers).map(([name, server]) => [name, { ...server, places: 10 * server.places }])),
    },
  }
}

/** Operators who read and write while faults go on: leaves patched in a race, a zone emptied and refilled, a server barred. */
function operators(sim: Simulation, fromMs: number, untilMs: number): void {
  const { clock, random, see } = sim
  const { deployment } = sim.options
  const [partner = '', branch] = Object.entries(deployment.charter.partners).find(([, one]) => Object.keys(one.services).length > 0) ?? []
  const [service = '', plan] = Object.entries(branch?.services ?? {})[0] ?? []
  let count = 0
  const patch = (tree: object, settled: (askedMs: number) => void, ifMatch = -1) => {
    count += 1
    const askedMs = clock.nowMs
    sim.operators.write(
      { operation: `operation-${String(count)}`, action: 'charter.patch', branch: '', text: JSON.stringify(tree), ifMatch },
      (status) => {
        if (status === 200) settled(askedMs)
      },
    )
  }
  const race = () => {
    if (clock.nowMs > untilMs) return
    patch({ partners: { [partner]: { limits: { dueMs: 9000 + random.below(1000) } } } }, () => undefined)
    patch(
      { partners: { [partner]: { limits: { warmMs: deployment.charter.defaults.warmMs } } } },
      () => undefined,
      random.hit(0.5) ? 3 : -1,
    )
    clock.after(random.between(1500, 5000), race)
  }
  const zone = () => {
    if (clock.nowMs > untilMs) return
    const name = random.pick(deployment.zones) ?? ''
    patch({ zones: { [name]: { emptied: true } } }, (askedMs) => {
      see({ kind: 'emptied', atMs: askedMs, zone: name, emptied: true, ackedMs: clock.nowMs })
      clock.after(4000, () => {
        see({ kind: 'emptied', atMs: clock.nowMs, zone: name, emptied: false, ackedMs: 0 })
        patch({ zones: { [name]: { emptied: false } } }, () => {
          clock.after(3000, zone)
        })
      })
    })
  }
  const bar = () => {
    if (clock.nowMs > untilMs || plan === undefined || plan.servers.length < 2) return
    const server = random.pick(plan.servers) ?? ''
    const write = (servers: readonly string[], settled: (askedMs: number) => void) => {
      patch({ partners: { [partner]: { services: { [service]: { servers } } } } }, settled)
    }
    write(
      plan.servers.filter((one) => one !== server),
      (askedMs) => {
        see({ kind: 'barred', atMs: askedMs, service, server, barred: true, ackedMs: clock.nowMs })
        clock.after(3500, () => {
          see({ kind: 'barred', atMs: clock.nowMs, service, server, barred: false, ackedMs: 0 })
          write(plan.servers, () => {
            clock.after(2000, bar)
          })
        })
      },
    )
  }
  const read = () => {
    if (clock.nowMs > untilMs) return
    sim.operators.read()
    clock.after(random.between(100, 600), read)
  }
  clock.at(fromMs, read)
  clock.at(fromMs, race)
  clock.at(fromMs + 500, zone)
  clock.at(fromMs + 900, bar)
}

function readAll(sim: Simulation): void {
  const { clock, see } = sim
  const read = (action: 'charter.get' | 'charter.history', text: string, branch: string): string | undefined => {
    let got: string | undefined
    let open = true
    sim.operators.operate(
      sim.random.pick([...sim.controlPlane.nodes.keys()]) ?? '',
      {
        action,
        branch,
        text,
        ifMatch: -1,
        operation: `read-${String(clock.nowMs)}`,
        waitMs: sim.timings.operateMs,
        leaderMs: sim.timings.operateMs,
      },
      (status, _stamp, body) => {
        got = status === 200 ? body : undefined
        open = false
      },
    )
    while (open && clock.turn());
    return got
  }
  const listed = read('charter.history', '', '')
  if (listed === undefined) throw new Error('the core did not answer at the end of the run')
  const history = z.array(z.object({ stamp: z.number(), operation: z.string() })).parse(JSON.parse(listed))
  see({ kind: 'history', atMs: clock.nowMs, entries: history })
  for (const one of history) {
    const text = read('charter.get', String(one.stamp), 'sent')
    if (text !== undefined) see({ kind: 'readBack', atMs: clock.nowMs, stamp: one.stamp, text })
    const whole = read('charter.get', String(one.stamp), '')
    if (whole !== undefined) see({ kind: 'wholeBack', atMs: clock.nowMs, stamp: one.stamp, text: whole })
  }
}

/** The longest that a service went without a whole answer once a fault had closed. */
function recovery(sim: Simulation): number {
  let worst = 0
  for (const fault of sim.observations) {
    if (fault.kind !== 'faultClosed') continue
    const first = sim.observations.find((one) => one.kind === 'whole' && one.atMs >= fault.atMs)
    if (first !== undefined) worst = Math.max(worst, Math.round(first.atMs - fault.atMs))
  }
  return worst
}
