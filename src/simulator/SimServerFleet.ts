/**
 * The simulated servers behind the proxies, and the platform's list of them.
 */
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Deployment } from './Deployment.js'
import type { SimServer } from './SimServer.js'
import type { SimWorld } from './SimWorld.js'
import { StandInServer } from './StandInServer.js'

type ServerPlan = Deployment['servers'][number]

const usualLagMs = 200

export class SimServerFleet {
  readonly servers = new Map<string, SimServer>()
  readonly #world: SimWorld

  constructor(world: SimWorld) {
    this.#world = world
  }

  add({ name, zone, kind }: ServerPlan): void {
    this.servers.set(name, {
      name,
      host: name,
      zone,
      kind,
      address: this.#world.freshAddress(name),
      state: undefined,
      dark: false,
      lives: 0,
      draining: false,
      listed: true,
      lagMs: usualLagMs,
      orderLoss: 0,
      orderSlowMs: 0,
      breaksRuns: 0,
      slowness: 1,
      claims: undefined,
      nonsense: false,
      watchers: new Set(),
    })
  }

  start(name: string): void {
    const { options, clock, see } = this.#world
    const server = this.servers.get(name)
    const plan = options.deployment.servers.find((one) => one.name === name)
    if (server === undefined || plan === undefined || server.state !== undefined) return
    server.lives += 1
    server.dark = false
    server.state = new StandInServer(this.#standInPlan(plan), `${name}.${String(server.lives)}`, clock.nowMs, see)
    see({ kind: 'serverUp', atMs: clock.nowMs, server: name, zone: server.zone })
  }

  #standInPlan(plan: ServerPlan): StandInServer['plan'] {
    const { deployment, uncheckedEpoch, broken } = this.#world.options
    const { warmMs, coldLimit } = deployment.charter.defaults
    return {
      ...plan,
      loadMbPerS: deployment.loadMbPerS,
      checksEpoch: !uncheckedEpoch,
      enforcesEpoch: broken !== 'staleOrders' && !uncheckedEpoch,
      warmMs,
      coldLimit,
    }
  }

  /** Ends a server's life; whatever runs there is told. */
  crash(name: string): void {
    const server = this.servers.get(name)
    if (server?.state === undefined) return
    server.state = undefined
    for (const watcher of [...server.watchers]) watcher()
    server.watchers.clear()
  }

  /** Lets the servers work on until now. */
  advance(): void {
    for (const server of this.servers.values()) server.state?.advance(this.#world.clock.nowMs)
  }

  /** The server at an address as it looks from a host: one that can't be reached is dark. */
  serverAt(address: string, fromHost: string): SimServer | undefined {
    const server = [...this.servers.values()].find((one) => one.address === address)
    if (server === undefined) return undefined
    const { network } = this.#world
    const connected = network.connected(fromHost, server.host) && network.connected(server.host, fromHost)
    return connected && !server.dark ? server : { ...server, state: undefined, dark: true }
  }

  /** What the platform lists. */
  platformList(): PlatformServer[] {
    const { broken } = this.#world.options
    return [...this.servers.values()]
      .filter((one) => one.listed)
      .map(({ name, address, zone, draining }) => ({ name, address, zone, draining: draining && broken !== 'drain' }))
  }
}
