/**
 * One fleet run from start to verdict: bring the deployment up, put its charter, drive its traffic
 * for a bounded time while faults come and go, read everything back, and judge.
 */
import { rm } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../gauge/clockMs.js'
import { Callers } from './Callers.js'
import type { Deployment } from './Deployment.js'
import { Fleet } from './Fleet.js'
import { judge } from './judge.js'
import { quantile } from './quantile.js'

interface FleetRun {
  deployment: Deployment
  folder: string
  seconds: number
  faults: readonly string[]
  seed: number
  say: (line: string) => void
}
const faultsByName: Record<string, (fleet: Fleet, say: (line: string) => void) => Promise<void>> = {
  'kill-leader': async (fleet) => {
    const nodes = await fleet.nodes()
    const box = fleet.boxes.find((one) => nodes !== undefined && one.name === fleet.leader(nodes))
    await box?.stop('SIGKILL')
    await pause(2000)
    await box?.start()
  },
  'kill-turnout': async (fleet) => {
    const [turnout, lineman] = [fleet.turnouts[0], fleet.linemen[0]]
    await turnout?.stop('SIGKILL')
    await lineman?.stop('SIGKILL')
    await pause(1000)
    await lineman?.start()
    await turnout?.start()
    await fleet.until('the killed turnout is back', async () => (await fleet.nodes())?.seats.every((seat) => seat.alive) === true)
  },
  'freeze-leader': async (fleet) => {
    const nodes = await fleet.nodes()
    const box = fleet.boxes.find((one) => nodes !== undefined && one.name === fleet.leader(nodes))
    box?.signal('SIGSTOP')
    await pause(3000)
    box?.signal('SIGCONT')
  },
  'crash-server': async (fleet) => {
    const server = fleet.servers[0]
    await server?.crash()
    await pause(1500)
    await server?.open()
  },
  'drain-server': async (fleet) => {
    const server = fleet.servers[1]
    if (server === undefined) return
    fleet.drain(server.name, true)
    await pause(5000)
    fleet.drain(server.name, false)
  },
  runbooks: async (fleet, say) => {
    const run = async (...args: string[]) => {
      const done = await fleet.operate(['runbook', 'run', ...args])
      say(`runbook ${args.slice(0, 1).join()}: exit ${String(done.code)}`)
      if (done.code !== 0) throw new Error(`runbook ${args.join(' ')} failed:\n${done.out}${done.error}`)
    }
    const record = (name: string) => ['--record', join(fleet.folder, `${name}.jsonl`)]
    const askedMs = clockMs()
    await run('empty-zone', '--set', 'zone=c', ...record('empty-zone'))
    fleet.see({ kind: 'emptied', atMs: askedMs, zone: 'c', emptied: true, ackedMs: clockMs() })
    await pause(3000)
    fleet.see({ kind: 'emptied', atMs: clockMs(), zone: 'c', emptied: false, ackedMs: 0 })
    await run('refill-zone', '--set', 'zone=c', ...record('refill-zone'))
    const box = fleet.boxes[2]
    if (box === undefined) return
    const replaced = run('replace-core', '--set', `seat=${box.name}`, ...record('replace-core'))
    await pause(1500)
    await box.stop('SIGKILL')
    await pause(4000)
    await rm(join(fleet.folder, box.name), { recursive: true })
    await box.start()
    await replaced
    const server = fleet.servers[2]
    if (server === undefined) return
    const swapped = run('replace-server', '--set', `server=${server.name}`, ...record('replace-server'))
    await pause(500)
    fleet.drain(server.name, true)
    await pause(3000)
    await server.crash()
    await server.open()
    fleet.drain(server.name, false)
    await swapped
    const stamp = fleet.sightings.find((one) => one.kind === 'acknowledged')?.stamp ?? 0
    await run('roll-back-charter', '--set', `stamp=${String(stamp)}`, ...record('roll-back-charter'))
  },
  'empty-zone': async (fleet, say) => {
    const askedMs = clockMs()
    const done = await fleet.operate(['zone', 'empty', 'b'])
    say(`zone empty b: exit ${String(done.code)} after ${String(Math.round(clockMs() - askedMs))} ms`)
    if (done.code === 0) fleet.see({ kind: 'emptied', atMs: askedMs, zone: 'b', emptied: true, ackedMs: clockMs() })
    await pause(6000)
    fleet.see({ kind: 'emptied', atMs: clockMs(), zone: 'b', emptied: false, ackedMs: clockMs() })
    await fleet.operate(['zone', 'refill', 'b'])
  },
}

export const runFleet = {
  faults: Object.keys(faultsByName),

  async run({ deployment, folder, seconds, faults, seed, say }: FleetRun): Promise<boolean> {
    const fleet = new Fleet(deployment, folder)
    const callers = new Callers(
      deployment,
      seed,
      () => fleet.turnouts.filter((one) => one.running).map((one) => fleet.callerAddresses.get(one.name) ?? ''),
      (model, adapter) => fleet.servers.some((one) => one.state.plan.roomMb > 0 && one.state.allows(model, adapter, clockMs())),
      fleet.see,
    )
    try {
      await fleet.start()
      await fleet.until('every seat is alive', async () => {
        const nodes = await fleet.nodes()
        return (
          nodes !== undefined &&
          nodes.dispatcher !== null &&
          nodes.seats.length === deployment.turnouts.length &&
          nodes.seats.every((seat) => seat.alive)
        )
      })
      say(`${deployment.name}: ${String(fleet.boxes.length + fleet.linemen.length + fleet.turnouts.length)} processes are up`)
      const text = `${JSON.stringify(deployment.charter, null, 2)}\n`
      fleet.see({ kind: 'wrote', atMs: clockMs(), operation: 'first', text, branch: '', action: 'charter.put', ifMatch: -1 })
      const put = await fleet.operate(['charter', 'put', fleet.inputFile, '--operation', 'first', '--json'], text)
      if (put.code !== 0) throw new Error(`charter put ended with ${String(put.code)}: ${put.out}${put.error}`)
      const stamp = /"stamp":(\d+)/.exec(put.out)?.[1] ?? '0'
      fleet.see({ kind: 'acknowledged', atMs: clockMs(), operation: 'first', stamp: Number(stamp) })
      callers.begin()
      const endsMs = clockMs() + seconds * 1000
      await pause(3000)
      for (const name of faults) {
        say(`fault: ${name}`)
        await faultsByName[name]?.(fleet, say)
        fleet.see({ kind: 'faultClosed', atMs: clockMs(), fault: name })
        await pause(2000)
      }
      while (clockMs() < endsMs) await pause(100)
      callers.stop()
      await fleet.until('the last callers have their answers', () => callers.underWay === 0, 15_000)
      const back = await fleet.operate(['charter', 'get', '--stamp', stamp])
      fleet.see({ kind: 'readBack', atMs: clockMs(), stamp: Number(stamp), text: back.out })
      return runFleet.tell(fleet, callers, say)
    } finally {
      callers.stop()
      await callers.close()
      await fleet.stop()
    }
  },

  tell(fleet: Fleet, callers: Callers, say: (line: string) => void): boolean {
    const { deployment, sightings } = fleet
    const { defaults, fleet: plan, partners } = deployment.charter
    const kinds = new Map(deployment.servers.map((one) => [one.name, one.kind]))
    const services = new Map(
      Object.values(partners).flatMap((branch) => Object.entries(branch.services).map(([name, service]) => [name, service.servers])),
    )
    const rules = judge({
      sightings,
      bounds: { charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 },
      zones: new Map(deployment.servers.map((one) => [one.name, one.zone])),
      sizes: deployment.sizes,
      leastAsked: 10,
      longestRunMs: 2000,
      allowed: (service, server) => services.get(service)?.includes(server) ?? kinds.get(server) === 'model',
      paceMbPerS: plan.storePaceMbPerS,
      burstMb: plan.storeBurstMb,
      retryRatio: 0.2,
      retryAllowance: defaults.retryAllowance,
      slackMs: 1500,
    })
    const count = (kind: string) => sightings.filter((one) => one.kind === kind).length
    say(
      `requests: ${String(count('asked'))} asked, ${String(count('whole'))} whole, ${String(count('turnedAway'))} turned away, ${String(count('brokenOff'))} broken off, ${String(count('left'))} left by the line`,
    )
    const reasons = new Map<string, number>()
    for (const one of sightings)
      if (one.kind === 'turnedAway')
        reasons.set(`${String(one.status)} ${String(one.verdict)}`, (reasons.get(`${String(one.status)} ${String(one.verdict)}`) ?? 0) + 1)
    for (const [reason, times] of reasons) say(`  turned away ${reason}: ${String(times)}`)
    const waits = [...callers.waits.values()].flat()
    const loads = sightings.filter((one) => one.kind === 'ordered' && one.taken && one.order.startsWith('load')).length
    const mb = sightings.reduce((sum, one) => sum + (one.kind === 'drew' ? one.mb : 0), 0)
    say(
      `waits: p50 ${String(quantile(waits, 0.5))} ms, p99 ${String(quantile(waits, 0.99))} ms; cold starts: ${String(callers.coldAsks)} of ${String(callers.modelAsks)}; loads: ${String(loads)}; weights moved: ${String(Math.round(mb))} MB`,
    )
    let passes = count('whole') > 0
    for (const [rule, defects] of Object.entries(rules)) {
      say(
        `${defects.length === 0 ? 'pass' : 'FAIL'} ${rule}${defects.length === 0 ? '' : `: ${String(defects.length)}, first: ${defects.slice(0, 3).join('; ')}`}`,
      )
      if (defects.length > 0) passes = false
    }
    return passes
  },
}
