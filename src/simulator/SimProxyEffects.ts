/**
 * Carries out the effects of simulated proxies: attempts at servers, and the answers to callers.
 */
import type { ProxyEffect } from '../proxy/ProxyEffect.js'
import { Verdict } from '../common/Verdict.js'
import type { SimCallers } from './SimCallers.js'
import type { SimProxyNode } from './SimProxyNode.js'
import { SimRun } from './SimRun.js'
import type { SimServerFleet } from './SimServerFleet.js'
import type { SimWorld } from './SimWorld.js'

type Attempt = Extract<ProxyEffect, { kind: 'attempt' }>
type Rejection = Extract<ProxyEffect, { kind: 'turnAway' }>

const refusedMs = 1
const longUpMs = 1e9

export class SimProxyEffects {
  readonly #world: SimWorld
  readonly #fleet: SimServerFleet
  readonly #callers: SimCallers

  constructor(world: SimWorld, fleet: SimServerFleet, callers: SimCallers) {
    this.#world = world
    this.#fleet = fleet
    this.#callers = callers
  }

  /** `life` is the life of the process that asked for the effect. */
  perform(proxy: SimProxyNode, effect: ProxyEffect, life: number): void {
    const { clock, network } = this.#world
    const { process } = proxy
    switch (effect.kind) {
      case 'send':
        network.send(process.name, process.host, proxy.address, effect.toAddress, effect.message)
        break
      case 'say':
        clock.note(effect.sentence)
        break
      case 'attempt':
        this.#connect(proxy, effect, life)
        break
      case 'go':
        this.#run(proxy, effect.id, effect.attempt, life)
        break
      case 'relay':
        break
      case 'release':
        this.#release(proxy, effect.id)
        break
      case 'turnAway':
        this.#reject(proxy, effect)
        break
      case 'breakOff':
        this.#abort(proxy, effect.id)
        break
    }
  }

  /** Connects an attempt to a server, which tells who it is. */
  #connect({ process, flights }: SimProxyNode, { id, attempt, address, server: wanted }: Attempt, life: number): void {
    const { clock, random, options } = this.#world
    const server = this.#fleet.serverAt(address, process.host)
    if (server?.dark === true) return
    if (server?.state === undefined) {
      const why = 'the connection was not taken'
      process.deliverLater(refusedMs, { kind: 'defect', id, attempt, verdict: Verdict.notRun, why }, life)
      return
    }
    const { state } = server
    const real = this.#fleet.servers.get(server.name)
    if (real === undefined) return
    clock.after(random.between(0.5, 2), () => {
      if (process.life !== life || real.state !== state || real.dark) return
      flights.set(id, { server: real, state, cancelled: false, end: () => undefined })
      const claimed = options.broken === 'identity' ? wanted : (server.claims ?? server.name)
      const upMs = options.broken === 'cold' ? longUpMs : state.upMs(clock.nowMs)
      const identified = { kind: 'identified' as const, id, attempt, server: claimed, incarnation: state.incarnation, upMs }
      process.deliverLater(random.between(0.2, 1), identified, life)
    })
  }

  #run(proxy: SimProxyNode, id: string, attempt: number, life: number): void {
    const flight = proxy.flights.get(id)
    const ask = proxy.asks.get(id)
    if (flight === undefined || ask === undefined) return
    new SimRun(this.#world, this.#callers, { proxy, flight, ask, id, attempt, life }).send()
  }

  #release({ flights }: SimProxyNode, id: string): void {
    const { clock, random } = this.#world
    const flight = flights.get(id)
    flights.delete(id)
    if (flight === undefined) return
    clock.after(random.between(0.3, 1.5), () => {
      flight.cancelled = true
      flight.end()
    })
  }

  #reject({ process, asks }: SimProxyNode, { id, status, verdict, retryAfterS, why }: Rejection): void {
    const { clock, options, see } = this.#world
    const ask = asks.get(id)
    asks.delete(id)
    if (ask === undefined) return
    see({
      kind: 'turnedAway',
      atMs: clock.nowMs,
      request: ask.request,
      status,
      verdict: options.broken === 'told' ? Verdict.notRun : verdict,
      retryAfter: retryAfterS > 0,
      wokeMs: process.wokeMs,
      why,
    })
  }

  #abort({ asks, flights }: SimProxyNode, id: string): void {
    const { clock, see } = this.#world
    const ask = asks.get(id)
    asks.delete(id)
    flights.delete(id)
    if (ask !== undefined) see({ kind: 'brokenOff', atMs: clock.nowMs, request: ask.request })
  }
}
