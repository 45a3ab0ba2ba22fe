/**
 * One fleet run from start to verdict: bring the deployment up, put its charter, drive its traffic
 * for a bounded time while faults come and go, read everything back, and check the invariants.
 */
import { readFile, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { request } from 'undici'
import { z } from 'zod'
import { clockMs } from '../common/clockMs.js'
import { Callers } from './Callers.js'
import type { Deployment } from './Deployment.js'
import { Fleet } from './Fleet.js'
import { checkInvariants } from './checkInvariants.js'
import { quantile } from './quantile.js'

interface FleetRun {
  deployment: Deployment
  folder: string
  seconds: number
  faults: readonly string[]
  seed: number
  /** Only what no slow machine can break counts; bounds of time are told. */
  safety: boolean
  /** Whether people may send requests of their own while it runs. */
  visitors: boolean
  say: (line: string) => void
}
/** What a person would do when a runbook asks, by the words it asks in. */
const hands: [RegExp, (fleet: Fleet, name: string) => Promise<void>][] = [
  [
    /^Stop the control at (\S+) /,
    async (fleet, name) => {
      await fleet.controlNodes.find((one) => one.name === name)?.stop('SIGKILL')
    },
  ],
  [
    /^Start a control named (\S+) with an empty/,
    async (fleet, name) => {
      await rm(join(fleet.folder, name), { recursive: true, force: true })
      await fleet.controlNodes.find((one) => one.name === name)?.start()
    },
  ],
  [/^Mark (\S+) as draining/, (fleet, name) => Promise.resolve(fleet.drain(name, true))],
  [
    /replace (\S+) and take the mark away/,
    async (fleet, name) => {
      const server = fleet.servers.find((one) => one.name === name)
      await server?.idle()
      await server?.crash()
      await server?.open()
      fleet.drain(name, false)
    },
  ],
  [
    /^Restart the control at (\S+)\./,
    async (fleet, name) => {
      const node = fleet.controlNodes.find((one) => one.name === name)
      await node?.stop('SIGTERM')
      await node?.start()
    },
  ],
  [/^Restart the proxy and the agent of (\S+)\./, (fleet, name) => restartDataNode(fleet, name)],
  [
    /^Restart every agent/,
    async (fleet) => {
      for (const one of fleet.agents) await restartDataNode(fleet, one.name)
    },
  ],
]

async function restartDataNode(fleet: Fleet, name: string): Promise<void> {
  const proxy = fleet.proxies.find((one) => one.name === `${name}-proxy`)
  const agent = fleet.agents.find((one) => one.name === name)
  await proxy?.stop('SIGTERM')
  await agent?.stop('SIGTERM')
  await agent?.start()
  await proxy?.start()
  if (proxy === undefined) return
  proxy.leaving = true
  const address = fleet.callerAddresses.get(proxy.name) ?? ''
  await fleet.until(`${proxy.name} is well`, () =>
    request(`http://${address}/health`).then(
      async (reply) => (await reply.body.dump(), reply.statusCode === 200),
      () => false,
    ),
  )
  proxy.leaving = false
}

/** Runs a runbook and does by hand whatever it asks for. */
async function runbook(fleet: Fleet, say: (line: string) => void, name: string, args: string[]): Promise<void> {
  const record = join(fleet.folder, `${name}.jsonl`)
  const running = { open: true, handled: 0 }
  const ends = fleet.operate(['runbook', 'run', name, ...args, '--record', record]).finally(() => {
    running.open = false
  })
  while (running.open) {
    const lines = (await readFile(record, 'utf8').catch(() => '')).split('\n').slice(0, -1)
    for (const line of lines.slice(running.handled)) {
      running.handled += 1
      const { saw = '' } = Saw.parse(JSON.parse(line))
      for (const [words, act] of hands) {
        const found = words.exec(saw)
        if (found !== null) await act(fleet, found[1] ?? '')
      }
    }
    await pause(50)
  }
  const done = await ends
  say(`runbook ${name}: exit ${String(done.code)}`)
  if (done.code !== 0) throw new Error(`runbook ${name} failed:\n${done.out}${done.error}`)
}
const Saw = z.object({ saw: z.string().optional() })

const faultsByName: Record<string, (fleet: Fleet, say: (line: string) => void) => Promise<void>> = {
  'kill-leader': async (fleet) => {
    const nodes = await fleet.nodes()
    const node = fleet.controlNodes.find((one) => nodes !== undefined && one.name === fleet.leader(nodes))
    await node?.stop('SIGKILL')
    await pause(2000)
    await node?.start()
  },
  'kill-proxy': async (fleet) => {
    const [proxy, agent] = [fleet.proxies[0], fleet.agents[0]]
    await proxy?.stop('SIGKILL')
    await agent?.stop('SIGKILL')
    await pause(1000)
    await agent?.start()
    await proxy?.start()
    await fleet.until('the killed proxy is back', async () => (await fleet.nodes())?.seats.every((seat) => seat.alive) === true)
  },
  'freeze-leader': async (fleet) => {
    const nodes = await fleet.nodes()
    const node = fleet.controlNodes.find((one) => nodes !== undefined && one.name === fleet.leader(nodes))
    node?.signal('SIGSTOP')
    await pause(3000)
    node?.signal('SIGCONT')
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
    const run = (name: string, ...args: string[]) => runbook(fleet, say, name, args)
    const askedMs = clockMs()
    await run('empty-zone', '--set', 'zone=c')
    fleet.see({ kind: 'emptied', atMs: askedMs, zone: 'c', emptied: true, ackedMs: clockMs() })
    await pause(3000)
    fleet.see({ kind: 'emptied', atMs: clockMs(), zone: 'c', emptied: false, ackedMs: 0 })
    await run('refill-zone', '--set', 'zone=c')
    await run('replace-core', '--set', `seat=${fleet.controlNodes[2]?.name ?? ''}`)
    await run('replace-server', '--set', `server=${fleet.servers[2]?.name ?? ''}`)
    const stamp = fleet.observations.find((one) => one.kind === 'acknowledged')?.stamp ?? 0
    await run('roll-back-charter', '--set', `stamp=${String(stamp)}`)
  },
  'roll-all': async (fleet, say) => {
    await runbook(fleet, say, 'roll-servers', [])
    await runbook(fleet, say, 'restart-system', [])
  },
  'lose-disk': async (fleet, say) => {
    const node = fleet.controlNodes[1]
    await node?.stop('SIGKILL')
    await rm(join(fleet.folder, node?.name ?? ''), { recursive: true })
    await runbook(fleet, say, 'recover-disk', ['--set', `seat=${node?.name ?? ''}`])
  },
  'lose-two-disks': async (fleet, say) => {
    const [survivor, one, other] = fleet.controlNodes
    if (survivor === undefined || one === undefined || other === undefined) return
    for (const node of fleet.controlNodes) await node.stop('SIGKILL')
    for (const node of [one, other]) await rm(join(fleet.folder, node.name), { recursive: true })
    const told = await survivor.once('refound', '--yes')
    const system = /as system (\S+)\./.exec(told)?.[1] ?? ''
    say(`refound: system ${system}`)
    for (const daemon of [...fleet.controlNodes, ...fleet.agents]) daemon.startup['system'] = system
    await survivor.start()
    await fleet.until('the survivor leads', async () => (await fleet.nodes())?.leader !== undefined)
    await runbook(fleet, say, 'after-refound', [
      '--set',
      `survivor=${survivor.name}`,
      '--set',
      `one=${one.name}`,
      '--set',
      `other=${other.name}`,
      '--set',
      `system=${system}`,
    ])
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

/** Rules that a slow machine can break by being slow. */
const timed = ['turnedAway', 'late', 'charter', 'drain', 'emptied', 'retries', 'store', 'recovery']

export const runFleet = {
  faults: Object.keys(faultsByName),

  async run({ deployment, folder, seconds, faults, seed, safety, visitors, say }: FleetRun): Promise<boolean> {
    const fleet = new Fleet(deployment, folder)
    const callers = new Callers(
      deployment,
      seed,
      () => fleet.proxies.filter((one) => one.running && !one.leaving).map((one) => fleet.callerAddresses.get(one.name) ?? ''),
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
          nodes.seats.length === deployment.proxies.length &&
          nodes.seats.every((seat) => seat.alive)
        )
      })
      say(`${deployment.name}: ${String(fleet.controlNodes.length + fleet.agents.length + fleet.proxies.length)} processes are up`)
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
      return runFleet.tell(fleet, callers, { safety, visitors }, say)
    } finally {
      callers.stop()
      await callers.close()
      await fleet.stop()
    }
  },

  tell(fleet: Fleet, callers: Callers, { safety, visitors }: Pick<FleetRun, 'safety' | 'visitors'>, say: (line: string) => void): boolean {
    const { deployment, observations } = fleet
    const { defaults, fleet: plan, partners } = deployment.charter
    const kinds = new Map(deployment.servers.map((one) => [one.name, one.kind]))
    const services = new Map(
      Object.values(partners).flatMap((branch) => Object.entries(branch.services).map(([name, service]) => [name, service.servers])),
    )
    const rules = checkInvariants({
      observations,
      visitors,
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
    const count = (kind: string) => observations.filter((one) => one.kind === kind).length
    say(
      `requests: ${String(count('asked'))} asked, ${String(count('whole'))} whole, ${String(count('turnedAway'))} turned away, ${String(count('brokenOff'))} broken off, ${String(count('left'))} left by the line`,
    )
    const reasons = new Map<string, number>()
    for (const one of observations)
      if (one.kind === 'turnedAway')
        reasons.set(`${String(one.status)} ${String(one.verdict)}`, (reasons.get(`${String(one.status)} ${String(one.verdict)}`) ?? 0) + 1)
    for (const one of observations) if (one.kind === 'left') reasons.set(`left: ${one.why}`, (reasons.get(`left: ${one.why}`) ?? 0) + 1)
    for (const [reason, times] of reasons) say(`  no whole answer, ${reason}: ${String(times)}`)
    const waits = [...callers.waits.values()].flat()
    const loads = observations.filter((one) => one.kind === 'ordered' && one.taken && one.order.startsWith('load')).length
    const mb = observations.reduce((sum, one) => sum + (one.kind === 'drew' ? one.mb : 0), 0)
    say(
      `waits: p50 ${String(quantile(waits, 0.5))} ms, p99 ${String(quantile(waits, 0.99))} ms; cold starts: ${String(callers.coldAsks)} of ${String(callers.modelAsks)}; loads: ${String(loads)}; weights moved: ${String(Math.round(mb))} MB`,
    )
    const unmarked = observations.filter((one) => one.kind === 'ran' && one.marks.length === 0).length
    if (visitors && unmarked > 0) say(`visitors: ${String(unmarked)} requests that no caller of this run sent were served`)
    let passes = count('whole') > 0
    for (const [rule, defects] of Object.entries(rules)) {
      say(
        `${defects.length === 0 ? 'pass' : 'FAIL'} ${rule}${defects.length === 0 ? '' : `: ${String(defects.length)}, first: ${defects.slice(0, 3).join('; ')}`}`,
      )
      if (defects.length > 0 && !(safety && timed.includes(rule))) passes = false
    }
    return passes
  },
}
