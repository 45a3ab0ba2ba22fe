/**
 * The two deployments at the sizes of today, and small ones for sweeps; `tight` is short of room, and
 * `tight-steady` gets each model's requests at even gaps. Zones, machines, servers, models with
 * adapters, and the
 * mix of traffic. Sizes and rates that nobody stated are our own guesses, drawn from a fixed seed.
 */
import { Random } from '../common/Random.js'
import { Charter } from '../common/Charter.js'

interface Course {
  service: string
  kind: 'model' | 'service'
  perS: number
  adapters: string[]
  lines: number
  prefix: number
  steady: boolean
}
interface Shape {
  partner: string
  other: string
  controlNodes: number
  proxies: number
  modelServers: number
  serviceServers: number
  models: number
  adapters: number
  service: string
  servicePerS: number
  busy: [string, number, number]
  middle: [string, number, number]
  rare: [string, number, number]
  storePace: number
  modelRunMs: number
  places: number
  steady: boolean
  coldLimit: number
}

export interface Deployment {
  name: string
  zones: string[]
  controlNodes: { name: string; zone: string }[]
  proxies: { name: string; zone: string }[]
  servers: { name: string; zone: string; kind: 'model' | 'service'; roomMb: number; places: number }[]
  charter: Charter
  courses: Course[]
  loadMbPerS: number
  serviceRunMs: number
  modelRunMs: number
  sizes: ReadonlyMap<string, number>
}

const tight: Shape = {
  partner: 'cascade',
  coldLimit: 4,
  other: 'gopherline',
  controlNodes: 3,
  proxies: 4,
  modelServers: 2,
  serviceServers: 2,
  models: 14,
  adapters: 20,
  service: 'booking',
  servicePerS: 10,
  busy: ['conflict', 3, 6],
  middle: ['directory', 5, 1],
  rare: ['calendar', 6, 1],
  storePace: 5000,
  modelRunMs: 300,
  places: 4,
  steady: false,
}

const shapes: Record<string, Shape> = {
  small: {
    partner: 'gopherline',
    coldLimit: 2,
    other: 'cascade',
    controlNodes: 3,
    proxies: 5,
    modelServers: 4,
    serviceServers: 3,
    models: 12,
    adapters: 8,
    service: 'lobby',
    servicePerS: 10,
    busy: ['pairing', 3, 8],
    middle: ['seeding', 4, 1],
    rare: ['replay', 5, 0.2],
    storePace: 20_000,
    modelRunMs: 40,
    places: 8,
    steady: false,
  },
  tight,
  'tight-steady': { ...tight, steady: true },
  gopherline: {
    partner: 'gopherline',
    coldLimit: 2,
    other: 'cascade',
    controlNodes: 3,
    proxies: 9,
    modelServers: 8,
    serviceServers: 3,
    models: 36,
    adapters: 40,
    service: 'lobby',
    servicePerS: 30,
    busy: ['pairing', 6, 20],
    middle: ['seeding', 10, 1],
    rare: ['replay', 20, 0.2],
    storePace: 20_000,
    modelRunMs: 40,
    places: 8,
    steady: false,
  },
  cascade: {
    partner: 'cascade',
    coldLimit: 4,
    other: 'gopherline',
    controlNodes: 3,
    proxies: 8,
    modelServers: 13,
    serviceServers: 3,
    models: 30,
    adapters: 55,
    service: 'booking',
    servicePerS: 45,
    busy: ['conflict', 8, 15],
    middle: ['directory', 10, 2],
    rare: ['calendar', 12, 0.2],
    storePace: 20_000,
    modelRunMs: 40,
    places: 8,
    steady: false,
  },
}

export const Deployment = {
  names: Object.keys(shapes),

  of(name: string): Deployment | undefined {
    const shape = shapes[name]
    if (shape === undefined) return undefined
    const random = new Random(7)
    const zones = ['a', 'b', 'c']
    const zone = (at: number) => zones[at % 3] ?? 'a'
    const list = (count: number, prefix: string) =>
      Array.from({ length: count }, (_, at) => ({ name: `${prefix}-${String(at + 1)}`, zone: zone(at) }))
    const servers = [
      ...list(shape.modelServers, 'ms').map((one) => ({ ...one, kind: 'model' as const, roomMb: 24_000, places: shape.places })),
      ...list(shape.serviceServers, shape.service).map((one) => ({ ...one, kind: 'service' as const, roomMb: 0, places: 0 })),
    ]
    const models: Record<string, { sizeMb: number; adapters: string[]; adapterMb: number; limits?: { intent: { weight: number } } }> = {}
    const courses: Course[] = [
      { service: shape.service, kind: 'service', perS: shape.servicePerS, adapters: [], lines: 1, prefix: 0, steady: false },
    ]
    let adaptersLeft = shape.adapters
    const kinds: [[string, number, number], number, number, number][] = [
      [shape.busy, 1, 3, 3],
      [shape.middle, 2, 4, 2],
      [shape.rare, 8, 20, 1],
    ]
    for (const [[prefix, count, perS], lines, share, weight] of kinds) {
      for (let at = 0; at < count; at++) {
        const model = `${prefix}-${String(at + 1)}`
        const own = Math.min(adaptersLeft, share === 20 ? adaptersLeft : Math.floor(random.between(1, share)))
        const adapters = Array.from({ length: Math.min(own, 5) }, (_, n) => `${model}-a${String(n + 1)}`)
        adaptersLeft -= adapters.length
        models[model] = { sizeMb: Math.round(random.between(2000, 9000)), adapters, adapterMb: 100, limits: { intent: { weight } } }
        const zipf = 1 / (at + 1) / Array.from({ length: count }, (_, n) => 1 / (n + 1)).reduce((sum, one) => sum + one, 0)
        courses.push({ service: model, kind: 'model', perS: perS * zipf, adapters, lines: lines * 4, prefix: lines, steady: shape.steady })
      }
    }
    const charter = Charter.check({
      defaults: {
        dueMs: 8000,
        bodyLimitBytes: 2_000_000,
        retryRatio: 0.15,
        retryAllowance: 3,
        coldLimit: shape.coldLimit,
        warmMs: 2000,
        serverLimit: 64,
        intent: { weight: 1, coldStartCost: 1, hours: [] },
      },
      partners: {
        [shape.partner]: {
          limits: { dueMs: 10_000 },
          services: {
            [shape.service]: {
              servers: servers.filter((one) => one.kind === 'service').map((one) => one.name),
              repeatable: shape.service === 'lobby',
            },
          },
          models,
        },
        [shape.other]: {},
      },
      fleet: {
        servers: Object.fromEntries(servers.map((one) => [one.name, { kind: one.kind, roomMb: one.roomMb, places: one.places }])),
        storePaceMbPerS: shape.storePace,
        storeBurstMb: 2 * shape.storePace,
      },
    })
    return {
      name,
      zones,
      controlNodes: list(shape.controlNodes, 'box'),
      proxies: list(shape.proxies, 'post'),
      servers,
      courses,
      loadMbPerS: 20_000,
      serviceRunMs: 5,
      modelRunMs: shape.modelRunMs,
      sizes: new Map(Object.entries(models).map(([model, { sizeMb }]) => [model, sizeMb])),
      charter: charter.caseOf<Charter>({
        Left: (errors) => {
          throw new Error(errors.join('\n'))
        },
        Right: (tree) => tree,
      }),
    }
  },
}
