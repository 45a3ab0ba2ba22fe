/**
 * Each mechanism of routing makes the difference that it is there for: what holds with all of them does not without it.
 */
import { strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Mechanism } from '../common/Mechanism.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { Random } from '../common/Random.js'
import { Verdict } from '../common/Verdict.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { GatewayEffect } from './GatewayEffect.js'
import type { GatewayInput } from './GatewayInput.js'
import { GatewayMachine } from './GatewayMachine.js'

const tokens = 3000
const draws = 30
const plan = {
  name: 'g-1',
  zone: 'a',
  retryRatio: 0.2,
  retryAllowance: 50,
  retryWindowMs: 10_000,
  suspectMs: 1400,
  refillMs: 2000,
  tallyMs: 250,
}

class Scene {
  readonly machine: GatewayMachine
  nowMs = 1000
  readonly #copy = new ReplicaTable()
  #count = 0

  constructor(without: readonly Mechanism[]) {
    this.machine = new GatewayMachine(plan, this.#copy, new Random(1), Mechanisms.without(without))
    this.machine.servers.members = ['g-1', 'g-2']
    const batch = { capacity: 8, cacheTokens: 1000, roomMb: 100, adapterPlaces: 2, loadsPerS: 5, models: [] }
    this.#set('service/llm', { name: 'llm', connections: 100, batch })
    for (const urgency of [0, 1]) {
      const route = { host: 'h.example', kind: 'stream', timeoutMs: 5000, aimMs: 400, gapMs: 600, resumable: true, attempts: 3 }
      const name = `r${String(urgency)}`
      this.#set(`route/${name}`, { ...route, name, prefix: `/${name}/`, urgency, services: [{ service: 'llm', weight: 1 }] })
    }
    for (const [at, zone] of ['a', 'a', 'b'].entries()) this.serve(`s-${String(at)}`, zone)
  }

  /** A server comes; gives the requests that are sent to it at once, in order. */
  serve(name: string, zone: string, models = ['llm:m']): string[] {
    this.#set(`server/${name}`, { name, address: `10.0.0.${name.slice(2)}:1`, zone, service: 'llm', capacity: 8 })
    const effects = this.#set(`binding/${name}`, { incarnation: name, models, adapters: [] })
    return effects.flatMap((one) => (one.kind === 'attempt' ? [one.id] : []))
  }

  #set(key: string, value: unknown): GatewayEffect[] {
    this.#copy.set({ key, stamp: this.#copy.stamp + 1, gone: false, value: JSON.stringify(value) })
    return this.step({ kind: 'adopted' })
  }

  step(input: GatewayInput): GatewayEffect[] {
    return this.machine.step(input, this.nowMs)
  }

  /** A request comes; gives the server that it is sent to first, if any. */
  ask(more: { urgency?: number; model?: string; part?: string } = {}): { id: string; server: string | undefined } {
    this.#count += 1
    const id = String(this.#count)
    const { urgency = 1, model = 'm', part } = more
    const parts = part === undefined ? [] : [{ id: part, tokens }]
    const arrival = { id, dueInMs: 4000, resumeAfter: undefined, model, adapter: '', promptTokens: tokens, parts }
    const effects = this.step({ kind: 'arrived', id, host: 'h.example', path: `/r${String(urgency)}/x`, arrival })
    return { id, server: Scene.server(effects) }
  }

  /** Where a request goes that ends at once. */
  place(more: { part?: string } = {}): string {
    const { id, server } = this.ask(more)
    this.step({ kind: 'callerGone', id })
    return server ?? ''
  }

  pass(ms: number): GatewayEffect[] {
    const effects: GatewayEffect[] = []
    for (let left = ms; left > 0; left -= 20) {
      this.nowMs += 20
      effects.push(...this.step({ kind: 'tick' }))
    }
    return effects
  }

  static server(effects: readonly GatewayEffect[]): string | undefined {
    return effects.flatMap((one) => (one.kind === 'attempt' ? [one.server] : []))[0]
  }
}

const places = (scene: Scene, part?: string) =>
  new Set(Array.from({ length: draws }, () => scene.place(part === undefined ? {} : { part })))
const named = (scene: Scene, name: string) => {
  const server = scene.machine.servers.get(name)
  if (server === undefined) throw new Error(name)
  return server
}

/** True if what the mechanism is there for happens. */
const differences: Partial<Record<Mechanism, (scene: Scene) => boolean>> = {
  'prefix-affinity': (scene) => places(scene, 'p').size === 1,
  'shared-loads': (scene) => {
    scene.machine.servers.told([
      { key: 's-0', count: 7 },
      { key: 's-2', count: 7 },
    ])
    return [...places(scene)].join() === 's-1'
  },
  'latency-estimate': (scene) => {
    for (const name of ['s-0', 's-2']) for (let n = 0; n < 9; n++) scene.machine.servers.trust(named(scene, name), 900)
    return [...places(scene)].join() === 's-1'
  },
  'zone-affinity': (scene) => !places(scene).has('s-2'),
  suspects: (scene) => {
    for (const name of ['s-0', 's-2']) scene.machine.servers.suspect(named(scene, name), scene.nowMs)
    return [...places(scene)].join() === 's-1'
  },
  'further-tries': (scene) => {
    const { id } = scene.ask()
    const after = scene.step({ kind: 'defect', id, attempt: 1, verdict: Verdict.notRun, why: 'reset' })
    return Scene.server(after) !== undefined
  },
  'leave-silent': (scene) => {
    scene.pass(3000)
    const { id, server } = scene.ask()
    scene.step({ kind: 'sent', id, attempt: 1 })
    const next = Scene.server(scene.pass(1000))
    return next !== undefined && next !== server
  },
  'hold-for-load': (scene) => {
    scene.ask({ model: 'absent' })
    const gaveUp = Array.from({ length: 24 }, () => {
      const one = { model: 'llm:absent', adapter: '', readyInMs: 500, neverBeforeMs: 0, loading: true }
      return [...scene.step({ kind: 'outlook', models: [one] }), ...scene.pass(100)].some(({ kind }) => kind === 'turnAway')
    })
    return !gaveUp.includes(true)
  },
  'urgency-order': (scene) => {
    scene.ask({ model: 'new', urgency: 1 })
    scene.pass(20)
    const urgent = scene.ask({ model: 'new', urgency: 0 })
    return scene.serve('s-3', 'a', ['llm:new'])[0] === urgent.id
  },
}

for (const mechanism of Mechanism.options) {
  const happens = differences[mechanism]
  if (happens === undefined) continue
  test(`${mechanism} makes its difference`, () => {
    strictEqual(happens(new Scene([])), true)
    strictEqual(happens(new Scene([mechanism])), false)
  })
}
