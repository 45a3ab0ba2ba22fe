/**
 * A whole deployment as real processes on loopback: three control nodes, a proxy and an agent for
 * each proxy machine, with stand-ins for the servers and the platform. It starts only its own
 * children and ends them by their process ids.
 */
import { execFile } from 'node:child_process'
import { createServer, type Server } from 'node:http'
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request as call } from 'undici'
import { z } from 'zod'
import { clockMs } from '../common/clockMs.js'
import { OwnLoopback } from '../common/testing/OwnLoopback.js'
import { Daemon } from './Daemon.js'
import type { Deployment } from './Deployment.js'
import type { Observation } from './Observation.js'
import { StandInHttp } from './StandInHttp.js'

const Nodes = z.object({
  leader: z.string(),
  core: z.array(z.object({ identity: z.string(), seat: z.string(), voter: z.boolean() })),
  dispatcher: z.object({ holder: z.string(), epoch: z.number() }).nullable(),
  seats: z.array(z.object({ seat: z.string(), alive: z.boolean() })),
})

export class Fleet {
  readonly deployment: Deployment
  readonly folder: string
  readonly observations: Observation[] = []
  readonly servers: StandInHttp[]
  readonly controlNodes: Daemon[] = []
  readonly agents: Daemon[] = []
  readonly proxies: Daemon[] = []
  readonly callerAddresses = new Map<string, string>()
  readonly operatorAddresses = new Map<string, string>()
  readonly draining = new Set<string>()
  readonly unlisted = new Set<string>()
  #platform: Server | undefined

  constructor(deployment: Deployment, folder: string) {
    this.deployment = deployment
    this.folder = folder
    const { warmMs, coldLimit } = deployment.charter.defaults
    this.servers = deployment.servers.map(
      (one) =>
        new StandInHttp(
          { ...one, loadMbPerS: deployment.loadMbPerS, checksEpoch: true, enforcesEpoch: true, warmMs, coldLimit },
          one.kind === 'model' ? deployment.modelRunMs : deployment.serviceRunMs,
          this.see,
        ),
    )
  }

  readonly see = (observation: Observation): void => {
    this.observations.push(observation)
  }

  async start(): Promise<void> {
    const { controlNodes, proxies } = this.deployment
    await mkdir(this.folder, { recursive: true })
    for (const server of this.servers) await server.open()
    const address = () => OwnLoopback.freeAddress()
    const platform = await address()
    await this.#openPlatform(platform)
    const controlAddresses = await Promise.all(controlNodes.map(address))
    for (const [at, node] of controlNodes.entries()) {
      const operators = await address()
      this.operatorAddresses.set(node.name, operators)
      this.controlNodes.push(
        new Daemon('control', this.folder, {
          ...node,
          transport: controlAddresses[at],
          operators,
          seeds: controlAddresses,
          seats: controlNodes.map((one) => one.name),
          data: join(this.folder, node.name),
          platform,
        }),
      )
    }
    for (const node of proxies) {
      const [agent, proxy, callers, watch] = [await address(), await address(), await address(), await address()]
      this.callerAddresses.set(`${node.name}-proxy`, callers)
      this.agents.push(new Daemon('agent', this.folder, { ...node, transport: agent, proxy, seeds: controlAddresses, platform, watch }))
      this.proxies.push(
        new Daemon('proxy', this.folder, {
          name: `${node.name}-proxy`,
          seat: node.name,
          zone: node.zone,
          transport: proxy,
          agent,
          callers,
        }),
      )
    }
    for (const daemon of [...this.controlNodes, ...this.agents, ...this.proxies]) await daemon.start()
  }

  async stop(): Promise<void> {
    await Promise.all([...this.proxies, ...this.agents, ...this.controlNodes].map((daemon) => daemon.stop('SIGKILL')))
    for (const server of this.servers) await server.crash()
    this.#platform?.close()
    this.#platform?.closeAllConnections()
  }

  async #openPlatform(address: string): Promise<void> {
    const server = createServer((_request, response) => {
      const servers = this.servers
        .filter((one) => !this.unlisted.has(one.name))
        .map((one) => ({ name: one.name, address: one.address, zone: one.state.plan.zone, draining: this.draining.has(one.name) }))
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ servers }))
    })
    await OwnLoopback.listen(server, OwnLoopback.portOf(address))
    this.#platform = server
  }

  drain(server: string, draining: boolean): void {
    if (draining) this.draining.add(server)
    else this.draining.delete(server)
    this.see({ kind: 'platform', atMs: clockMs(), server, draining, listed: true })
  }

  async until(what: string, ready: () => Promise<boolean> | boolean, waitMs = 60_000): Promise<void> {
    const untilMs = clockMs() + waitMs
    while (!(await ready())) {
      if (clockMs() > untilMs) throw new Error(`waited ${String(waitMs)} ms in vain: ${what}`)
      await pause(50)
    }
  }

  async nodes(): Promise<z.infer<typeof Nodes> | undefined> {
    for (const address of this.operatorAddresses.values()) {
      try {
        const reply = await call(`http://${address}/nodes`, { headers: { 'due-ms': '2000' }, signal: AbortSignal.timeout(3000) })
        const read = Nodes.safeParse(JSON.parse(await reply.body.text()))
        if (read.success) return read.data
      } catch {
        continue
      }
    }
    return undefined
  }

  leader(nodes: z.infer<typeof Nodes>): string {
    return nodes.core.find((one) => one.identity === nodes.leader)?.seat ?? ''
  }

  /** Runs the operators' command line as a process of its own. */
  async operate(args: string[], input?: string): Promise<{ code: number; out: string; error: string }> {
    if (input !== undefined) await writeFile(join(this.folder, 'input.json'), input)
    const program = fileURLToPath(new URL('../cli/main.js', import.meta.url))
    return new Promise((resolve) => {
      execFile(
        process.execPath,
        [program, ...args],
        { env: { ...process.env, SPRINGPADDLE_CORE: [...this.operatorAddresses.values()].join(',') }, maxBuffer: 64_000_000 },
        (error, out, err) => {
          resolve({ code: error === null ? 0 : typeof error.code === 'number' ? error.code : 1, out, error: err })
        },
      )
    })
  }

  get inputFile(): string {
    return join(this.folder, 'input.json')
  }
}
