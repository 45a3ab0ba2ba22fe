/**
 * A caller's kept connection, on which one request after the other is passed on while servers fail and the routes, servers
 * and limits in force change: every request gets a whole answer, and the connection stays.
 */
import { deepStrictEqual, match, ok, strictEqual } from 'node:assert'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { RouteFormat } from '../adapters/RouteFormat.js'
import { RawCaller } from './testing/RawCaller.js'
import { RawServer } from './testing/RawServer.js'
import { TestGateway } from './testing/TestGateway.js'

type Rows = Parameters<TestGateway['tell']>[0]

const idleMs = 5000
const limits = { headerBytes: 16_384, bodyBytes: 100_000, headerMs: 5000, idleMs }
const route = (name: string, kind: string, more: object = {}) => ({
  name,
  host: 'h.example',
  prefix: `/${name}/`,
  kind,
  timeoutMs: 20_000,
  aimMs: 4000,
  attempts: 2,
  services: [{ service: 'app', weight: 1 }],
  ...more,
})
const answer = (id: string, body = `the answer to ${id}`) =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z\r\ncontent-length: ${String(body.length)}\r\n\r\n${body}`

interface Scene {
  gateway: TestGateway
  waiting: Map<string, Socket>
  /** Sends a request on the one connection and waits until a server has it. */
  send: (id: string, path: string, more?: string) => Promise<Socket>
  /** The status and body of the next answer on the connection. */
  next: () => Promise<{ status: number; body: string }>
  caller: RawCaller
}

async function scene(t: TestContext): Promise<Scene> {
  const waiting = new Map<string, Socket>()
  const servers = [0, 1].map(() => new RawServer((heard, socket) => waiting.set(heard.headers['request-id'] ?? '', socket)))
  const addresses = await Promise.all(servers.map((one) => one.open()))
  const gateway = await TestGateway.open(RouteFormat)
  gateway.tell([
    ['network', { revision: 1, limits }],
    ['service/app', { name: 'app', connections: 100 }],
    ['route/once', route('once', 'once')],
    ['route/short', route('short', 'once', { timeoutMs: 300 })],
    ['route/stream', route('stream', 'stream')],
    ...addresses.map((address, at): [string, object] => [
      `server/s-${String(at)}`,
      { name: `s-${String(at)}`, address, zone: 'a', service: 'app', capacity: 64 },
    ]),
  ])
  const caller = new RawCaller(gateway.address, '')
  t.after(async () => {
    caller.leave()
    for (const server of servers) server.close()
    await gateway.stop()
  })
  let taken = 0
  const next = async () => {
    for (;;) {
      const text = caller.text.slice(taken)
      const end = text.indexOf('\r\n\r\n')
      const length = /content-length: (\d+)/i.exec(text.slice(0, Math.max(0, end)))?.[1]
      if (end >= 0 && length !== undefined && text.length >= end + 4 + Number(length)) {
        const whole = end + 4 + Number(length)
        taken += whole
        return { status: Number(text.slice(9, 12)), body: text.slice(end + 4, whole) }
      }
      ok(!caller.closed, `the connection is closed after ${JSON.stringify(text)}`)
      await pause(1)
    }
  }
  return {
    gateway,
    waiting,
    caller,
    next,
    send: async (id, path, more = '') => {
      caller.send(`POST ${path} HTTP/1.1\r\nhost: h.example\r\nrequest-id: ${id}\r\ncontent-length: 4\r\n${more}\r\nbody`)
      for (;;) {
        const socket = waiting.get(id)
        if (socket !== undefined) return socket
        ok(!caller.closed, 'the connection is closed')
        await pause(1)
      }
    },
  }
}

const failures: [string, string, number, (socket: Socket, id: string) => void][] = [
  ['is silent until the time is over', '/short/x', 504, () => undefined],
  ['is silent until its caller’s time is over', '/once/x', 504, () => undefined],
  ['resets the connection', '/once/x', 502, (socket) => socket.resetAndDestroy()],
  ['ends the connection', '/once/x', 502, (socket) => socket.end()],
  ['cuts its answer short', '/once/x', 502, (socket, id) => socket.end(answer(id).slice(0, -3))],
  ['answers another request', '/once/x', 502, (socket) => socket.write(answer('r-none'))],
  ['speaks another protocol', '/once/x', 502, (socket) => socket.write('no answer\r\n\r\n'.repeat(40))],
  ['is full and does not say that it ran nothing', '/once/x', 502, (socket, id) => socket.write(answer(id).replace('200 OK', '503 No'))],
  ['breaks off a stream before its first event is whole', '/stream/x', 502, breakOff],
]

function breakOff(socket: Socket, id: string): void {
  const head = 'content-type: text/event-stream\r\ntransfer-encoding: chunked'
  socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z\r\n${head}\r\n\r\n8\r\nid: 1\nda\r\n`)
}

test('whatever a server does with a request, its kept connection has an answer and takes the next one', async (t) => {
  const { send, next, caller } = await scene(t)
  for (const [at, [said, path, status, fail]] of failures.entries()) {
    const id = `f-${String(at)}`
    fail(await send(id, path, said.includes('caller’s') ? 'due-ms: 300\r\n' : ''), id)
    strictEqual((await next()).status, status, said)
    const sound = `s-${String(at)}`
    let socket: Socket | undefined
    // A server that failed is left alone for a moment, in which both may be.
    for (let tries = 0; socket === undefined && tries < 50; tries++) {
      const sent = send(`${sound}-${String(tries)}`, '/once/x')
      sent.catch(() => undefined)
      const answered = next()
      const got = await Promise.race([sent, answered.then(({ status: refused }) => refused)])
      if (typeof got === 'number') strictEqual(got, 503)
      else {
        got.write(answer(`${sound}-${String(tries)}`))
        strictEqual((await answered).status, 200)
        socket = got
      }
    }
    ok(socket !== undefined, said)
  }
  strictEqual(caller.closed, false)
})

const changes: [string, Rows][] = [
  ['a removed route', [['route/once', undefined]]],
  ['a moved route', [['route/once', route('once', 'once', { services: [{ service: 'other', weight: 1 }] })]]],
  [
    'removed servers and their service',
    [
      ['route/once', undefined],
      ['server/s-0', undefined],
      ['server/s-1', undefined],
      ['service/app', undefined],
    ],
  ],
  ['an emptied zone', [['zone/a', { emptied: true }]]],
  ['smaller limits', [['network', { revision: 2, limits: { headerBytes: 10, bodyBytes: 1, headerMs: 1, idleMs: 10 } }]]],
]
for (const [said, rows] of changes) {
  test(`${said} while a request runs ends neither its answer nor its connection`, async (t) => {
    const { send, next, gateway, caller } = await scene(t)
    for (const id of ['r-1', 'r-2']) {
      const socket = await send(id, '/once/x')
      if (id === 'r-2') {
        gateway.tell(rows)
        await pause(200)
      }
      socket.write(answer(id))
      deepStrictEqual(await next(), { status: 200, body: `the answer to ${id}` })
    }
    strictEqual(caller.closed, false)
  })
}

test('a request that comes just as its connection has rested long enough is answered or was never passed on', async (t) => {
  const { gateway, waiting } = await scene(t)
  const shortMs = 1000
  gateway.tell([['network', { revision: 2, limits: { ...limits, idleMs: shortMs } }]])
  const answering = setInterval(() => {
    for (const [id, socket] of waiting) {
      waiting.delete(id)
      socket.write(answer(id))
    }
  }, 1)
  t.after(() => {
    clearInterval(answering)
  })
  const passedOn = new Set<string>()
  const request = (id: string) => `GET /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: ${id}\r\n\r\n`
  const calls = Array.from({ length: 60 }, async (_, at) => {
    const caller = new RawCaller(gateway.address, request(`a-${String(at)}`))
    ok(await caller.until(`the answer to a-${String(at)}`))
    // The HTTP server adds a second to the limit that it tells.
    await pause(2 * shortMs - 60 + 2 * at)
    const id = `b-${String(at)}`
    const seen = setInterval(() => {
      if (waiting.has(id)) passedOn.add(id)
    }, 0)
    caller.send(request(id))
    const answered = await caller.until(`the answer to ${id}`)
    clearInterval(seen)
    caller.leave()
    return { id, answered }
  })
  for (const { id, answered } of await Promise.all(calls)) ok(answered || !passedOn.has(id), `${id} was passed on and not answered`)
})

test('before the machine knows a network, its refusals on a kept connection are promises', async (t) => {
  const gateway = await TestGateway.open(RouteFormat)
  const caller = new RawCaller(gateway.address, '')
  t.after(async () => {
    caller.leave()
    await gateway.stop()
  })
  const long = 'x'.repeat(5_000_000)
  for (const [at, head] of [
    'GET /none/x HTTP/1.1\r\ncontent-length: 0',
    'POST /once/x HTTP/1.1\r\ncontent-length: 0',
    'PROPFIND /once/x HTTP/1.1\r\ncontent-length: 0',
    `POST /once/x HTTP/1.1\r\ncontent-length: ${String(long.length)}`,
  ].entries()) {
    const id = `r-${String(at)}`
    caller.send(`${head}\r\nhost: h.example\r\nrequest-id: ${id}\r\n\r\n${head.endsWith('5000000') ? long : ''}`)
    ok(await caller.until(`request-id: ${id}\r\n`), caller.text)
  }
  const statuses = [...caller.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((one) => one[1])
  deepStrictEqual(statuses, ['503', '503', '503', '503'])
  match(caller.text, /retry-after: /)
})
