/**
 * A stop of the gateway, and changes of its routes and services, at random moments in the midst of requests:
 * what was passed on to a server comes back whole, and nothing is held past the time that it has.
 */
import { deepStrictEqual, ok } from 'node:assert'
import { request } from 'node:http'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { RouteFormat } from '../adapters/RouteFormat.js'
import { clockMs } from '../common/clockMs.js'
import { Random } from '../common/Random.js'
import { TurnClock } from '../common/testing/TurnClock.js'
import { RawServer } from './testing/RawServer.js'
import { TestGateway } from './testing/TestGateway.js'

interface Got {
  id: string
  status: number
  body: string
  whole: boolean
  /** For how long it was held past its timeout, without the time in which this process got no turn. */
  lateMs: number
}
type Change = (gateway: TestGateway) => void

const timeoutMs = 1500
const slackMs = 400
const seeds = 24
/** Few enough that the requests of the plays do not wait for each other when the process gets a part of a core. */
const atOnce = 4
const callsEach = 12
const leastRuns = 3 * seeds
const patienceMs = 20_000
const mostMs = 60_000

const route = (service: string, more: object = {}) => ({
  name: 'r',
  host: 'h.example',
  prefix: '/r/',
  kind: 'once',
  timeoutMs,
  aimMs: 300,
  attempts: 1,
  services: [{ service, weight: 1 }],
  ...more,
})

function answerOf(id: string): string {
  return `the answer to ${id} ${'x'.repeat(20_000)}`
}

async function ask(address: string, id: string): Promise<Got> {
  const startedMs = clockMs()
  const got: Got = { id, status: 0, body: '', whole: false, lateMs: 0 }
  const { hostname, port } = new URL(`http://${address}`)
  const headers = { host: 'h.example', 'request-id': id, 'due-ms': '3000' }
  const outgoing = request({ hostname, port, path: `/r/${id}`, method: 'POST', headers, agent: false }, (response) => {
    got.status = response.statusCode ?? 0
    response.on('data', (chunk: Buffer) => (got.body += chunk.toString()))
    response.on('end', () => (got.whole = response.complete))
    response.on('error', () => undefined)
  })
  outgoing.on('error', () => undefined)
  const closed = new Promise((resolve) => outgoing.on('close', resolve))
  outgoing.end('body')
  await closed
  got.lateMs = TurnClock.own.betweenMs(startedMs + timeoutMs, clockMs())
  return got
}

/** Plays requests with a change among them, once a drawn number of them runs or is refused; gives what was run and what came back. */
async function play(seed: number, change: Change): Promise<{ got: Got[]; ran: string[] }> {
  const random = new Random(seed)
  const decidedBefore = random.below(callsEach)
  const decided = new Set<string>()
  const ran: string[] = []
  const servers = [0, 1].map(
    () =>
      new RawServer((heard, socket) => {
        const id = heard.headers['request-id'] ?? ''
        ran.push(id)
        decided.add(id)
        const body = answerOf(id)
        const text = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z\r\ncontent-length: ${String(body.length)}\r\n\r\n${body}`
        const cut = random.below(text.length)
        setTimeout(() => {
          socket.write(text.slice(0, cut))
          setTimeout(() => socket.write(text.slice(cut)), 20 + random.below(80))
        }, random.below(120))
      }),
  )
  const addresses = await Promise.all(servers.map((server) => server.open()))
  const gateway = await TestGateway.open(RouteFormat, { graceMs: 3000, leaveMs: 100 })
  gateway.tell([
    ['network', { revision: 1, limits: { headerBytes: 16_384, bodyBytes: 100_000, headerMs: 5000, idleMs: 5000 } }],
    ['service/app', { name: 'app', connections: 100 }],
    ['service/other', { name: 'other', connections: 100 }],
    ['route/r', route('app')],
    ...addresses.map((address, at): [string, object] => [
      `server/s-${String(at)}`,
      { name: `s-${String(at)}`, address, zone: 'a', service: at === 0 ? 'app' : 'other', capacity: 40 },
    ]),
  ])
  const calls = Array.from({ length: callsEach }, async (_, at) => {
    await pause(random.below(300))
    const one = await ask(gateway.address, `${String(seed)}-${String(at)}`)
    decided.add(one.id)
    return one
  })
  const moreMs = random.below(40)
  try {
    await TurnClock.own.until(() => decided.size >= decidedBefore, patienceMs)
    await pause(moreMs)
    change(gateway)
    return { got: await Promise.all(calls), ran }
  } finally {
    await gateway.stop()
    for (const server of servers) server.close()
  }
}

const changes: [string, Change][] = [
  ['a stop', (gateway) => void gateway.desk.drain()],
  ['a removed route', (gateway) => gateway.tell([['route/r', undefined]])],
  ['a route moved to another service', (gateway) => gateway.tell([['route/r', route('other')]])],
  ['a shorter timeout', (gateway) => gateway.tell([['route/r', route('app', { timeoutMs: 900 })]])],
  ['a longer timeout', (gateway) => gateway.tell([['route/r', route('app', { timeoutMs: 60_000 })]])],
  ['another kind of route', (gateway) => gateway.tell([['route/r', route('app', { kind: 'repeatable', attempts: 2 })]])],
  ['a removed server', (gateway) => gateway.tell([['server/s-0', undefined]])],
  [
    'a removed service with its route and server',
    (gateway) =>
      gateway.tell([
        ['route/r', undefined],
        ['service/app', undefined],
        ['server/s-0', undefined],
      ]),
  ],
  [
    'other limits',
    (gateway) => gateway.tell([['network', { revision: 2, limits: { headerBytes: 9000, bodyBytes: 9, headerMs: 1000, idleMs: 1000 } }]]),
  ],
]

for (const [said, change] of changes) {
  test(`${said} in the midst of requests loses no answer that was passed on`, async () => {
    const played: { got: Got[]; ran: string[] }[] = []
    const runsOf = () => played.reduce((sum, { ran }) => sum + ran.length, 0)
    const untilMs = clockMs() + mostMs
    // On a busy machine more are refused before they run; the number of runs is reached all the same, with further seeds.
    for (let first = 1; first <= seeds || (runsOf() <= leastRuns && clockMs() < untilMs); first += atOnce)
      played.push(...(await Promise.all(Array.from({ length: atOnce }, (_, at) => play(first + at, change)))))
    const faults = played.flatMap(({ got, ran }, at) =>
      got.flatMap((one) => {
        const runs = ran.filter((id) => id === one.id).length
        const seed = `seed ${String(at + 1)}, ${one.id}`
        if (runs > 1) return [`${seed}: ran twice`]
        if (runs === 1 && (one.status !== 200 || !one.whole || one.body !== answerOf(one.id)))
          return [`${seed}: lost with ${String(one.status)}`]
        if (one.lateMs > slackMs) return [`${seed}: held ${String(one.lateMs)} ms past its timeout`]
        return []
      }),
    )
    deepStrictEqual(faults, [])
    ok(runsOf() > leastRuns, `only ${String(runsOf())} runs of ${String(played.length)} seeds`)
  })
}
