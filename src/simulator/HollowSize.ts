/**
 * What a hollow network is made of at a size: its routes, its one service of model servers, what each server
 * holds, what callers ask for and what operators change. All by the size alone, so that a run repeats.
 */
import type { Random } from '../common/Random.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Arrival } from '../adapters/Arrival.js'

export interface HollowSize {
  boxes: number
  nodes: number
  servers: number
  models: number
  adapters: number
  routes: number
  requestsPerS: number
  /** Of these, requests for any of the models, most of them idle. */
  rarePerS: number
  changesPerS: number
  /** Parts that an answer comes in, and how long it takes. */
  events: number
  runMs: number
}
const zones = 6
const heldModels = 3
const adapterPlaces = 8
/** Models that are asked for all the time; the others are idle. */
const busyModels = 20
const adapterRatio = 0.3

function adaptersOf(size: HollowSize, model: number): string[] {
  const each = Math.floor(size.adapters / size.models)
  const more = model < size.adapters % size.models ? 1 : 0
  return Array.from({ length: each + more }, (_, at) => `a${String(at)}`)
}

function route(at: number, weight = 1) {
  const services = [{ service: 'lm', weight }]
  return {
    name: `route-${String(at).padStart(4, '0')}`,
    host: 'h.example',
    prefix: HollowSize.path(at),
    kind: 'stream',
    timeoutMs: 20_000,
    aimMs: 1100,
    gapMs: 600,
    urgency: at % 3,
    attempts: 2,
    sticky: false,
    resumable: true,
    services,
  }
}

export const HollowSize = {
  loadMs: 600,

  path(at: number): string {
    return `/v1/games/title-${String(at).padStart(4, '0')}/`
  },

  network(size: HollowSize, revision: number) {
    const models = Array.from({ length: size.models }, (_, at) => ({
      name: `m${String(at)}`,
      sizeMb: 72_700,
      loadMs: HollowSize.loadMs,
      adapters: adaptersOf(size, at),
      adapterMb: 66,
    }))
    const batch = { capacity: 64, cacheTokens: 225_298, roomMb: 220_000, adapterPlaces, loadsPerS: 10, models }
    return {
      revision,
      routes: Array.from({ length: size.routes }, (_, at) => route(at)),
      services: [{ name: 'lm', connections: 370, warmMs: 3000, coldPerS: 37, batch }],
      limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerMs: 3000, idleMs: 15_000 },
    }
  },

  /** One route gets another weight: the smallest change that there is. */
  change(size: HollowSize, revision: number) {
    return { revision, set: { routes: [route(revision % size.routes, 1 + (revision % 97))] }, drop: {} }
  },

  server(at: number): string {
    return `srv-${String(at).padStart(4, '0')}`
  },

  /** Busy models stand in turn on all servers, as they would after a while. */
  servers(size: HollowSize): PlatformServer[] {
    const busy = Math.min(busyModels, size.models)
    return Array.from({ length: size.servers }, (_, at) => ({
      name: HollowSize.server(at),
      address: `10.2.${String(Math.floor(at / 200))}.${String(1 + (at % 200))}:8000`,
      zone: `z${String(at % zones)}`,
      draining: false,
      service: 'lm',
      capacity: 64,
      cold: false,
      models: Array.from({ length: Math.min(heldModels, size.models) }, (_, n) => (at * heldModels + n) % busy)
        .filter((model, n, all) => all.indexOf(model) === n)
        .map((model) => ({ model: `lm:m${String(model)}`, adapters: adaptersOf(size, model).slice(0, 2) })),
    }))
  },

  arrival(size: HollowSize, count: number, random: Random): Arrival {
    const busy = Math.min(busyModels, size.models)
    const model = random.hit(size.rarePerS / size.requestsPerS) ? random.below(size.models) : random.below(busy)
    const known = adaptersOf(size, model)
    const adapter = known.length > 0 && random.hit(adapterRatio) ? (known[random.below(Math.min(2, known.length))] ?? '') : ''
    return {
      id: `q${String(count)}`,
      dueInMs: 20_000,
      resumeAfter: undefined,
      model: `m${String(model)}`,
      adapter,
      promptTokens: 500,
      parts: [
        { id: `p${String(random.below(3))}`, tokens: 93 },
        { id: `c${String(random.below(303))}`, tokens: 62 },
      ],
    }
  },
}
