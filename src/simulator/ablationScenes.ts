/**
 * The scenes that mechanisms are measured in: fleets of the sizes and load times that deployments have, in ordinary
 * traffic whose popular models change, and with servers that are lost, refuse, or are asked for long prompts.
 */
import type { FleetScene } from './placementWorld/FleetScene.js'
import type { RequestKind } from './placementWorld/RequestKind.js'

const names = (prefix: string, count: number) => Array.from({ length: count }, (_, at) => `${prefix}-${String(at)}`)
const unevenServers = (at: number) => (at % 3 === 2 ? 1.3 : 1)

const live: RequestKind = {
  name: 'live',
  perS: 220,
  models: names('popular', 20),
  activeAtOnce: 8,
  skew: 0.6,
  adapterShare: 0.1,
  adapters: ['a1', 'a2', 'a3'],
  aimMs: 300,
  dueMs: 6000,
  silenceMs: 2400,
  attempts: 1,
  resumable: false,
  urgency: 1,
  worth: 2,
  lateWorth: 1,
  promptTokens: 650,
  sharedTokens: 155,
  chains: 30,
  runMs: 450,
}
const background: RequestKind = {
  ...live,
  name: 'background',
  perS: 7,
  models: names('rare', 85),
  activeAtOnce: 85,
  skew: 0.2,
  adapterShare: 0,
  aimMs: 6000,
  dueMs: 20_000,
  silenceMs: 24_000,
  attempts: 2,
  resumable: true,
  urgency: 0,
  worth: 3,
  lateWorth: 1.5,
  chains: 2,
}
const longLoads: Omit<FleetScene, 'seed'> = {
  servers: 21,
  gateways: 30,
  loadMs: 4000,
  loadsPerS: 8.5,
  kinds: [live, background],
  shiftsMs: [1000, 9000, 17_000, 25_000],
  shiftedAtOnce: 1,
  slowness: unevenServers,
}
const shortLoads: Omit<FleetScene, 'seed'> = {
  servers: 8,
  loadMs: 600,
  loadsPerS: 6.8,
  kinds: [
    {
      ...live,
      perS: 90,
      models: names('popular', 10),
      activeAtOnce: 5,
      aimMs: 500,
      dueMs: 5000,
      silenceMs: 4800,
      attempts: 2,
      resumable: true,
    },
    { ...background, perS: 12, models: names('rare', 30), activeAtOnce: 30, aimMs: 2000, dueMs: 6000, silenceMs: 8000 },
  ],
  shiftsMs: [1000, 12_000, 24_000],
  shiftedAtOnce: 2,
  slowness: unevenServers,
}
const longPrompts: RequestKind = {
  ...live,
  perS: 30,
  adapterShare: 0.5,
  aimMs: 800,
  silenceMs: 3200,
  promptTokens: 9200,
  sharedTokens: 6300,
  chains: 3,
}

export const ablationScenes: Readonly<Record<string, (seed: number) => FleetScene>> = {
  'long-loads': (seed) => ({ ...longLoads, seed }),
  'short-loads': (seed) => ({ ...shortLoads, seed }),
  'long-prompts': (seed) => ({ ...longLoads, kinds: [longPrompts, background], seed }),
  'lost-zone': (seed) => ({
    ...longLoads,
    seed,
    events: [
      {
        atMs: 15_000,
        befall: (world) => {
          world.crash([...world.servers.values()].filter(({ zone }) => zone === 'zone-0').map(({ name }) => name))
        },
      },
    ],
  }),
  'refusing-servers': (seed) => ({
    ...shortLoads,
    seed,
    events: [12_000, 20_000].map((atMs, at) => ({
      atMs,
      befall: (world) => {
        for (const server of [...world.servers.values()].slice(0, 2)) server.refusesRatio = at === 0 ? 0.5 : 0
      },
    })),
  }),
}
