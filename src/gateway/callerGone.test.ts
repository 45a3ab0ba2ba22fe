/**
 * What happens at servers once a caller has closed its connection: nothing of its requests reaches one any more, and
 * none is left at work on them.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { RouteFormat } from '../adapters/RouteFormat.js'
import { clockMs } from '../common/clockMs.js'
import { RawCaller } from './testing/RawCaller.js'
import { RawServer } from './testing/RawServer.js'
import { TestGateway } from './testing/TestGateway.js'

interface Scene {
  gateway: TestGateway
  servers: RawServer[]
  /** The connections on which requests came in, by request, and what was heard of their ends. */
  at: Map<string, { socket: Socket; server: number }>
  ended: Map<string, number>
  call: (id: string, path: string, more?: string) => RawCaller
}

const allowedMs = 500
const streamHead = (id: string) =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`
const event = (id: number, text = 'x') => {
  const whole = `id: ${String(id)}\ndata: ${text}\n\n`
  return `${whole.length.toString(16)}\r\n${whole}\r\n`
}
const answer = (id: string) => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z\r\ncontent-length: 2\r\n\r\nok`

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await pause(1)
}

async function scene(t: TestContext, count: number, connections: number): Promise<Scene> {
  const at: Scene['at'] = new Map()
  const ended: Scene['ended'] = new Map()
  const servers = Array.from(
    { length: count },
    (_, server) =>
      new RawServer((heard, socket) => {
        const id = heard.headers['request-id'] ?? ''
        at.set(id, { socket, server })
        socket.on('close', () => ended.set(id, clockMs()))
      }),
  )
  const addresses = await Promise.all(servers.map((one) => one.open()))
  const gateway = await TestGateway.open(RouteFormat)
  gateway.tell([
    ['network', { revision: 1, limits: { headerBytes: 16_384, bodyBytes: 100_000, headerMs: 5000, idleMs: 5000 } }],
    ['service/app', { name: 'app', connections }],
    ...(['repeatable', 'stream', 'once'] as const).map((kind): [string, object] => [
      `route/${kind}`,
      {
        name: kind,
        host: 'h.example',
        prefix: `/${kind}/`,
        kind,
        resumable: kind === 'stream',
        timeoutMs: 20_000,
        aimMs: 8000,
        attempts: 3,
        services: [{ service: 'app', weight: 1 }],
      },
    ]),
    ...addresses.map((address, server): [string, object] => [
      `server/s-${String(server)}`,
      { name: `s-${String(server)}`, address, zone: 'a', service: 'app', capacity: 8 },
    ]),
  ])
  const callers: RawCaller[] = []
  t.after(async () => {
    for (const caller of callers) caller.leave()
    for (const server of servers) server.close()
    await gateway.stop()
  })
  return {
    gateway,
    servers,
    at,
    ended,
    call: (id, path, more = '') => {
      const caller = new RawCaller(gateway.address, `GET ${path} HTTP/1.1\r\nhost: h.example\r\nrequest-id: ${id}\r\n${more}\r\n`)
      callers.push(caller)
      return caller
    },
  }
}
const heard = (servers: readonly RawServer[]) => servers.flatMap((one) => one.heard.map(({ headers }) => headers['request-id']))

test('a request that waits for a place when its caller leaves never reaches a server', async (t) => {
  const { call, servers, at, gateway } = await scene(t, 1, 1)
  const first = call('r-1', '/once/x')
  await until(() => at.has('r-1'))
  const second = call('r-2', '/once/x')
  await until(() => gateway.task.machine.held === 1)
  second.leave()
  await until(() => gateway.task.waiting === 1)
  at.get('r-1')?.socket.write(answer('r-1'))
  ok(await first.until('ok'))
  const third = call('r-3', '/once/x')
  await until(() => at.has('r-3'))
  at.get('r-3')?.socket.write(answer('r-3'))
  ok(await third.until('ok'))
  deepStrictEqual(heard(servers), ['r-1', 'r-3'])
})

for (const kind of ['repeatable', 'stream']) {
  test(`a ${kind} request whose server is lost after its caller left is sent to no other`, async (t) => {
    const { call, servers, at, ended, gateway } = await scene(t, 2, 100)
    const caller = call('r-1', `/${kind}/x`)
    await until(() => at.has('r-1'))
    const { socket, server } = at.get('r-1') ?? {}
    if (kind === 'stream') {
      socket?.write(streamHead('r-1') + event(1))
      ok(await caller.until('data: x\n\n'))
    }
    const leftMs = clockMs()
    caller.leave()
    await until(() => gateway.task.waiting === 0)
    socket?.resetAndDestroy()
    await pause(allowedMs + 200)
    deepStrictEqual(heard(servers), ['r-1'])
    strictEqual(servers[1 - (server ?? 0)]?.connections, 0)
    ok((ended.get('r-1') ?? Infinity) - leftMs < allowedMs)
  })
}

for (const way of ['closes its connection', 'ends its connection and still listens', 'reads no more and then closes its connection']) {
  test(`no server is left at work for a caller that ${way}`, async (t) => {
    const { call, at, ended, gateway } = await scene(t, 1, 100)
    const ids = ['/once/x', '/repeatable/x', '/stream/x', '/stream/y', '/stream/z'].map((path, place) => ({
      path,
      id: `r-${String(place)}`,
    }))
    const callers = ids.map(({ id, path }) => call(id, path))
    await until(() => at.size === ids.length)
    // One stream has begun, one brings more than connections hold.
    at.get('r-3')?.socket.write(streamHead('r-3') + event(1))
    at.get('r-4')?.socket.write(streamHead('r-4') + event(1))
    ok(await callers[3]?.until('data: x\n\n'))
    const large = event(2, 'y'.repeat(4_000_000))
    at.get('r-4')?.socket.write(large)
    if (way.startsWith('reads no more')) {
      for (const caller of callers) caller.pause()
      await pause(50)
    }
    const leftMs = clockMs()
    for (const caller of callers) {
      if (way.startsWith('ends')) caller.finish()
      else caller.leave()
    }
    await until(() => gateway.task.waiting === 0 && ended.size === ids.length)
    const tookMs = Math.max(...ended.values()) - leftMs
    ok(tookMs < allowedMs, `the last server was left after ${String(tookMs)} ms`)
  })
}

test('requests one behind the other, whose answers are not due yet, end with their connection too', async (t) => {
  const { call, at, ended, gateway } = await scene(t, 1, 100)
  const request = (id: string) => `GET /repeatable/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: ${id}\r\n\r\n`
  const caller = call('r-1', '/repeatable/x')
  caller.send(request('r-2') + request('r-3'))
  await until(() => at.size === 3)
  const leftMs = clockMs()
  caller.leave()
  await until(() => gateway.task.waiting === 0 && ended.size === 3)
  ok(Math.max(...ended.values()) - leftMs < allowedMs)
})

test('a caller that leaves in the middle of its body reaches no server', async (t) => {
  const { call, servers, at, gateway } = await scene(t, 1, 100)
  const caller = call('r-1', '/once/x', 'content-length: 100\r\n')
  caller.send('half of it')
  await pause(30)
  caller.leave()
  const other = call('r-2', '/once/x')
  await until(() => at.has('r-2'))
  at.get('r-2')?.socket.write(answer('r-2'))
  ok(await other.until('ok'))
  deepStrictEqual(heard(servers), ['r-2'])
  strictEqual(gateway.task.waiting, 0)
})
