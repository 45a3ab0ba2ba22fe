/**
 * The scene of a soak: nodes, servers, models, and how often each is asked for. Forty models share
 * places for twenty-four, most of them rare, and the popular ones change midway.
 */
import type { SoakNetwork } from './SoakNetwork.js'
import type { SoakSize } from './SoakSize.js'

interface Asked {
  model: string
  adapters: number
  /** How often it is asked for while it is popular, and while it is not. */
  popularPerS: number
  rarePerS: number
  popularFirst: boolean
  popularLater: boolean
}

const zones = ['a', 'b', 'c']
const controls = 3
const modelServers = 8
const models = 40
const heldAtOnce = 3
const plainServers = 2
const popularModels = 6
/** The first of the models that are popular after the shift. */
const shiftedFrom = 20
const popularPerS = 4
/** Rare models are asked for every second or three. */
const rareMostPerS = 1
const rareLeastPerS = 0.33
const everyAdapterModel = 5
const adaptersEach = 2
const modelMb = 70_000
const roomMb = 220_000
const leastLoadMs = 300
const mostLoadMs = 600
const model = (at: number) => `m${String(at + 1)}`
const loadMs = (at: number) => leastLoadMs + ((mostLoadMs - leastLoadMs) * (at % 7)) / 6
const adaptersOf = (at: number) => (at % everyAdapterModel === 0 ? adaptersEach : 0)
const zone = (at: number) => zones[at % zones.length] ?? ''

export const SoakScene = {
  zones,
  modelService: 'engines',
  plainService: 'desk',
  /** Streams that last for seconds, for clients that keep their connections. */
  scrollService: 'scrolls',
  scrollDueMs: 6000,
  /** How long after SIGTERM a process that still runs is ended. */
  graceMs: 8000,
  host: 'soak.example',
  dueMs: 5000,
  plainPerS: 12,
  modelCapacity: 8,
  plainCapacity: 8,
  scrollCapacity: 32,
  waitingMost: 6,
  roomMb,
  adapterMb: 50,
  adapterPlaces: 8,
  loadsPerS: 6,

  controls: Array.from({ length: controls }, (_, at) => ({ name: `core-${String(at + 1)}`, zone: zone(at) })),
  gateways: ({ gateways }: SoakSize) => Array.from({ length: gateways }, (_, at) => ({ name: `gate-${String(at + 1)}`, zone: zone(at) })),
  servers: Array.from({ length: modelServers }, (_, at) => ({
    name: `engine-${String(at + 1)}`,
    zone: zone(at),
    holds: Array.from({ length: heldAtOnce }, (_one, nth) => model(at + nth * modelServers)),
  })),
  plain: Array.from({ length: plainServers }, (_, at) => ({ name: `desk-${String(at + 1)}`, zone: zone(at) })),
  scrolls: ({ scrollServers }: SoakSize) =>
    Array.from({ length: scrollServers }, (_, at) => ({ name: `scroll-${String(at + 1)}`, zone: zone(at) })),
  models: new Map(
    Array.from({ length: models }, (_, at) => [model(at), { sizeMb: modelMb, loadMs: loadMs(at), adapters: adaptersOf(at) }]),
  ),

  asked: Array.from({ length: models }, (_, at): Asked => ({
    model: model(at),
    adapters: adaptersOf(at),
    popularPerS,
    rarePerS: rareLeastPerS + ((rareMostPerS - rareLeastPerS) * (at % 9)) / 8,
    popularFirst: at < popularModels,
    popularLater: at >= shiftedFrom && at < shiftedFrom + popularModels,
  })),

  network(revision: number): SoakNetwork {
    const service = SoakScene.modelService
    const stream = { host: SoakScene.host, service, timeoutMs: 5000, aimMs: 500 }
    return {
      revision,
      routes: [
        { ...stream, name: 'live', prefix: '/live/', kind: 'stream' },
        { ...stream, name: 'long', prefix: '/long/', kind: 'resumable' },
        { ...stream, name: 'check', prefix: '/check/', kind: 'repeatable', service: SoakScene.plainService, timeoutMs: 3000 },
        { ...stream, name: 'book', prefix: '/book/', kind: 'once', service: SoakScene.plainService, timeoutMs: 3000 },
        { ...stream, name: 'scroll', prefix: '/scroll/', kind: 'stream', service: SoakScene.scrollService, timeoutMs: 6000 },
        { ...stream, name: 'idle', prefix: `/idle-${String(revision)}/`, kind: 'repeatable', service: SoakScene.plainService },
      ],
      services: [
        { name: SoakScene.plainService, capacity: SoakScene.plainCapacity, connections: 200 },
        { name: SoakScene.scrollService, capacity: SoakScene.scrollCapacity, connections: 200 },
        { name: service, capacity: SoakScene.modelCapacity, connections: 400 },
      ],
      batch: {
        service,
        models: [...SoakScene.models].map(([name, one]) => ({ name, ...one })),
        adapterMb: SoakScene.adapterMb,
        roomMb,
        adapterPlaces: SoakScene.adapterPlaces,
        loadsPerS: SoakScene.loadsPerS,
      },
    }
  },
}
