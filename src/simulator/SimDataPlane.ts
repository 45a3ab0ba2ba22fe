/**
 * The simulated data-plane nodes: on each host an agent and a proxy, which start and are killed apart.
 */
import type { AgentEffect } from '../agent/AgentEffect.js'
import type { AgentInput } from '../agent/AgentInput.js'
import { AgentMachine } from '../agent/AgentMachine.js'
import type { ProxyEffect } from '../proxy/ProxyEffect.js'
import type { ProxyInput } from '../proxy/ProxyInput.js'
import { ProxyMachine } from '../proxy/ProxyMachine.js'
import type { SimAgentNode } from './SimAgentNode.js'
import type { SimCallers } from './SimCallers.js'
import { SimProcess } from './SimProcess.js'
import { SimProxyEffects } from './SimProxyEffects.js'
import type { SimProxyNode } from './SimProxyNode.js'
import { SimSabotage } from './SimSabotage.js'
import type { SimServerFleet } from './SimServerFleet.js'
import type { SimWorld } from './SimWorld.js'

export class SimDataPlane {
  readonly agents = new Map<string, SimAgentNode>()
  readonly proxies = new Map<string, SimProxyNode>()
  readonly #world: SimWorld
  readonly #fleet: SimServerFleet
  readonly #callers: SimCallers
  readonly #proxyEffects: SimProxyEffects
  readonly #sabotage: SimSabotage

  constructor(world: SimWorld, fleet: SimServerFleet, callers: SimCallers) {
    this.#world = world
    this.#fleet = fleet
    this.#callers = callers
    this.#proxyEffects = new SimProxyEffects(world, fleet, callers)
    this.#sabotage = new SimSabotage(world.options.broken)
  }

  add(name: string, zone: string): void {
    const host = `host-${name}`
    const agent = this.#makeAgentProcess(name, host)
    const proxy = this.#makeProxyProcess(name, host)
    this.agents.set(name, { process: agent, address: this.#world.freshAddress(host), zone })
    this.proxies.set(name, { process: proxy, address: this.#world.freshAddress(host), zone, asks: new Map(), flights: new Map() })
  }

  #makeAgentProcess(name: string, host: string): SimAgentNode['process'] {
    const { clock, random, timings } = this.#world
    return new SimProcess<AgentInput, AgentEffect, AgentMachine>(
      name,
      host,
      clock,
      random.fork(),
      timings.tickMs,
      () => ({ kind: 'tick' }),
      (effect) => {
        this.#performAgent(name, effect)
      },
    )
  }

  #makeProxyProcess(name: string, host: string): SimProxyNode['process'] {
    const { clock, random, timings } = this.#world
    return new SimProcess<ProxyInput, ProxyEffect, ProxyMachine>(
      `${name}-proxy`,
      host,
      clock,
      random.fork(),
      timings.tickMs,
      () => ({ kind: 'tick' }),
      (effect, life) => {
        const proxy = this.proxies.get(name)
        if (proxy !== undefined) this.#proxyEffects.perform(proxy, effect, life)
      },
    )
  }

  #performAgent(name: string, effect: AgentEffect): void {
    const agent = this.agents.get(name)
    if (agent === undefined) return
    const { clock, random, network } = this.#world
    const { process, address } = agent
    if (effect.kind === 'send') network.send(name, process.host, address, effect.toAddress, this.#sabotage.fromAgent(effect.message))
    else if (effect.kind === 'say') clock.note(effect.sentence)
    else if (effect.kind === 'askPlatform')
      clock.after(random.between(2, 40), () => {
        process.deliver({ kind: 'platform', servers: this.#fleet.platformList() })
      })
  }

  /** Starts whichever of a node's processes is down. */
  start(name: string): void {
    const agent = this.agents.get(name)
    const proxy = this.proxies.get(name)
    if (agent === undefined || proxy === undefined) return
    if (!agent.process.alive) this.#startAgent(name, agent, proxy.address)
    if (!proxy.process.alive) this.#startProxy(name, proxy, agent.address)
  }

  #startAgent(name: string, { process, address, zone }: SimAgentNode, proxy: string): void {
    const { timings, random, network, seeds, system } = this.#world
    const plan = { name, zone, address, seeds, proxy, system }
    process.start(new AgentMachine(plan, timings, random.fork(), process.nowMs))
    network.open(address, process.host, (from, fromAddress, message) => {
      process.deliver({ kind: 'message', from, fromAddress, message })
    })
  }

  #startProxy(name: string, { process, address, zone }: SimProxyNode, agent: string): void {
    const { timings, random, network, clock } = this.#world
    const plan = { name: process.name, seat: name, zone, agent }
    process.start(new ProxyMachine(plan, timings, random.fork()))
    network.open(address, process.host, (from, fromAddress, message) => {
      const hurt = clock.nowMs > this.#callers.hurtFromMs
      process.deliver({ kind: 'message', from, fromAddress, message: this.#sabotage.toProxy(message, hurt) })
    })
  }

  /** Ends both processes of a node. */
  kill(name: string): void {
    this.killProxy(name)
    this.killAgent(name)
  }

  killAgent(name: string): void {
    const agent = this.agents.get(name)
    if (agent === undefined) return
    this.#world.network.close(agent.address)
    agent.process.kill()
  }

  /** Its callers lose their connections, and the servers those of its attempts. */
  killProxy(name: string): void {
    const proxy = this.proxies.get(name)
    if (proxy === undefined) return
    this.#world.network.close(proxy.address)
    proxy.process.kill()
    for (const flight of proxy.flights.values()) {
      flight.cancelled = true
      flight.end()
    }
    for (const ask of proxy.asks.values()) this.#seeLeft(ask.request)
    proxy.flights.clear()
    proxy.asks.clear()
  }

  /** A caller who goes away before its answer. */
  leave(name: string, id: string): void {
    const proxy = this.proxies.get(name)
    const ask = proxy?.asks.get(id)
    if (proxy === undefined || ask === undefined) return
    proxy.asks.delete(id)
    this.#seeLeft(ask.request)
    proxy.process.deliver({ kind: 'callerGone', id })
  }

  #seeLeft(request: string): void {
    this.#world.see({ kind: 'left', atMs: this.#world.clock.nowMs, request, why: '' })
  }
}
