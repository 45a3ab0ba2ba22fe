/**
 * How the control plane grows: the same deployment with its proxy machines, servers, models and charter
 * multiplied, calm, then with its operators at work. Counts bytes and messages at the leader, the rows and
 * repairs that go down the tree, its depth, and how long a charter takes to be acknowledged. Traffic is
 * left out, so that what is counted is the control plane's own.
 */
import { Charter } from '../common/Charter.js'
import { Frame } from '../transport/Frame.js'
import type { Message } from '../transport/Message.js'
import { edgeMulti } from '../placement/edgeMulti.js'
import type { Deployment } from './Deployment.js'
import { quantile } from './quantile.js'
import { runSimulation } from './runSimulation.js'

const quietMs = 30_000

function times(deployment: Deployment, factor: number): Deployment {
  const grow = <T extends { name: string }>(list: readonly T[]): T[] =>
    Array.from({ length: factor }, (_, at) => list.map((one) => (at === 0 ? one : { ...one, name: `${one.name}x${String(at)}` }))).flat()
  const { charter } = deployment
  const servers = Object.fromEntries(
    grow(deployment.servers).map((one) => [one.name, charter.fleet.servers[one.name.replace(/x\d+$/, '')]]),
  )
  const partners = Object.fromEntries(
    Object.entries(charter.partners).map(([partner, branch]) => {
      const models = grow(Object.entries(branch.models).map(([name, model]) => ({ name, model })))
      return [partner, { ...branch, models: Object.fromEntries(models.map((one) => [one.name, one.model])) }]
    }),
  )
  const grown = Charter.check({ ...charter, partners, fleet: { ...charter.fleet, servers } })
  return {
    ...deployment,
    proxies: grow(deployment.proxies),
    servers: grow(deployment.servers),
    courses: [],
    charter: grown.caseOf<Charter>({
      Left: (errors) => {
        throw new Error(errors.join('\n'))
      },
      Right: (tree) => tree,
    }),
  }
}

export function scale(deployment: Deployment, factors: readonly number[], say: (line: string) => void): void {
  for (const factor of factors) {
    const grown = times(deployment, factor)
    const counts = new Map<string, { messages: number; bytes: number }>()
    const kinds = new Map<string, number>()
    let mends = 0
    const parents = new Map<string, string>()
    const meter = (fromHost: string, toHost: string, message: Message) => {
      if (message.kind === 'mend') mends += 1
      if (message.kind === 'follow' && fromHost !== toHost) parents.set(fromHost, toHost)
      for (const host of [fromHost, toHost]) {
        if (!host.startsWith('box-')) continue
        const bytes = Frame.write(fromHost, '10.0.0.1:1000', message).length
        kinds.set(message.kind, (kinds.get(message.kind) ?? 0) + bytes)
        const seen = counts.get(host) ?? { messages: 0, bytes: 0 }
        counts.set(host, { messages: seen.messages + 1, bytes: seen.bytes + bytes })
      }
    }
    const options = {
      deployment: grown,
      seed: 1,
      faults: [],
      calmMs: 10_000,
      faultMs: 0,
      quietMs,
      broken: '',
      crowd: 0,
      grows: 0,
      together: false,
      uncheckedEpoch: false,
      policy: edgeMulti,
    }
    const result = runSimulation({ ...options, meter })
    const depth = (host: string, seen = 0): number => (seen > 20 || !parents.has(host) ? seen : depth(parents.get(host) ?? '', seen + 1))
    const deepest = Math.max(...[...parents.keys()].map((host) => depth(host)))
    const busiest = [...counts.values()].sort((a, b) => b.bytes - a.bytes)[0] ?? { messages: 0, bytes: 0 }
    const perS = (count: number) => Math.round((count * 1000) / result.lastedMs)
    const acks = [...result.ackMs]
    const all = [...kinds.values()].reduce((sum, one) => sum + one, 0)
    const most = [...kinds]
      .sort((a, b) => b[1] - a[1])
      .slice(0, 3)
      .map(([kind, bytes]) => `${kind} ${String(Math.round((100 * bytes) / all))} %`)
    say(
      `${deployment.name} x${String(factor)}: ${String(grown.proxies.length)} proxy machines, ${String(grown.servers.length)} servers, charter ${String(JSON.stringify(grown.charter).length)} bytes: ` +
        `busiest core machine ${String(perS(busiest.messages))} messages/s, ${String(perS(busiest.bytes))} bytes/s (of the core: ${most.join(', ')}); relay depth ${String(deepest)}; ${String(mends)} repairs; ` +
        `acknowledged p50 ${String(quantile(acks, 0.5))} p99 ${String(quantile(acks, 0.99))} ms over ${String(acks.length)} writes`,
    )
  }
}
