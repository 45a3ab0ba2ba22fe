/**
 * What callers may do to their connections, and what a stop may not do to them.
 */
import { ok, strictEqual } from 'node:assert'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { RouteFormat } from '../adapters/RouteFormat.js'
import { TurnClock } from '../common/testing/TurnClock.js'
import { RawCaller } from './testing/RawCaller.js'
import { RawServer } from './testing/RawServer.js'
import { TestGateway } from './testing/TestGateway.js'

interface Scene {
  gateway: TestGateway
  server: RawServer
  /** What waits at the server, by its id. */
  waiting: Map<string, Socket>
  call: (text: string) => RawCaller
}

const idleMs = 2000
const request = (id: string) => `GET /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: ${id}\r\n\r\n`
const answer = (id: string, body: string) =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z9\r\ncontent-length: ${String(body.length)}\r\n\r\n${body}`

async function scene(t: TestContext, more: object = {}): Promise<Scene> {
  const waiting = new Map<string, Socket>()
  const server = new RawServer((heard, socket) => waiting.set(heard.headers['request-id'] ?? '', socket))
  const address = await server.open()
  const gateway = await TestGateway.open(RouteFormat, more)
  gateway.tell([
    ['network', { revision: 1, limits: { headerBytes: 16_384, bodyBytes: 100_000, headerMs: 1000, idleMs } }],
    ['service/app', { name: 'app', connections: 100 }],
    [
      'route/once',
      { name: 'once', host: 'h.example', prefix: '/once/', kind: 'once', timeoutMs: 20_000, services: [{ service: 'app', weight: 1 }] },
    ],
    ['server/s-0', { name: 's-0', address, zone: 'a', service: 'app', capacity: 64 }],
  ])
  const callers: RawCaller[] = []
  t.after(async () => {
    for (const caller of callers) caller.leave()
    server.close()
    await gateway.stop()
  })
  return {
    gateway,
    server,
    waiting,
    call: (text) => {
      const caller = new RawCaller(gateway.address, text)
      callers.push(caller)
      return caller
    },
  }
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await pause(2)
}

test('what is no request behind a waiting one is not answered in its place', async (t) => {
  const { call, waiting } = await scene(t)
  const caller = call(request('r-1') + 'this is no request\r\n\r\n')
  await until(() => waiting.has('r-1'))
  await pause(20)
  strictEqual(caller.text, '')
  waiting.get('r-1')?.write(answer('r-1', 'mine'))
  const text = await caller.whole()
  ok(text.startsWith('HTTP/1.1 200 ') && text.endsWith('mine'), text)
  strictEqual(text.match(/HTTP\/1\.1/g)?.length, 1)
})

test('what is no request is refused where nobody waits', async (t) => {
  const { call } = await scene(t)
  ok((await call('this is no request\r\n\r\n').whole()).startsWith('HTTP/1.1 400 '))
  const long = call(`GET /once/x HTTP/1.1\r\nhost: h.example\r\nx: ${'x'.repeat(70_000)}\r\n\r\n`)
  ok((await long.whole()).startsWith('HTTP/1.1 431 '))
})

test('requests that come one behind the other are answered in their order, whichever server is sooner', async (t) => {
  const { call, waiting } = await scene(t)
  const caller = call(request('r-1') + request('r-2'))
  await until(() => waiting.size === 2)
  waiting.get('r-2')?.write(answer('r-2', 'second'))
  await pause(20)
  strictEqual(caller.text, '')
  waiting.get('r-1')?.write(answer('r-1', 'first'))
  ok(await caller.until('second'))
  ok(caller.text.indexOf('first') < caller.text.indexOf('second'))
})

test('a caller that leaves with requests one behind the other ends them all', async (t) => {
  const { call, waiting, gateway } = await scene(t)
  const caller = call(request('r-1') + request('r-2') + request('r-3'))
  await until(() => waiting.size === 3)
  caller.leave()
  await until(() => gateway.task.waiting === 0)
  strictEqual(gateway.task.machine.open, 0)
})

test('a connection that has rested for four fifths of the limit is still taken up, and a caller is told the limit', async (t) => {
  const { call, waiting } = await scene(t)
  const caller = call(request('r-1'))
  await until(() => waiting.has('r-1'))
  waiting.get('r-1')?.write(answer('r-1', 'first'))
  ok(await caller.until('first'))
  ok(caller.text.includes(`Keep-Alive: timeout=${String(idleMs / 1000)}`), caller.text)
  await pause(0.85 * idleMs)
  caller.send(request('r-2'))
  await until(() => waiting.has('r-2'))
  waiting.get('r-2')?.write(answer('r-2', 'second'))
  ok(await caller.until('second'))
})

test('a stop answers every request that was taken, also one behind another', async (t) => {
  const { call, waiting, gateway } = await scene(t)
  const caller = call(request('r-1') + request('r-2'))
  await until(() => waiting.size === 2)
  const stopped = gateway.desk.drain()
  await pause(20)
  for (const id of ['r-1', 'r-2']) waiting.get(id)?.write(answer(id, `to ${id}`))
  await stopped
  const text = await caller.whole()
  ok(text.includes('to r-1') && text.includes('to r-2'), text)
})

test('a stop does not cut an answer that its caller is slow to read', async (t) => {
  const { call, waiting, gateway } = await scene(t, { graceMs: 4000 })
  const body = 'abcdefgh'.repeat(1_500_000)
  const caller = call(request('r-1'))
  await until(() => waiting.has('r-1'))
  caller.pause()
  waiting.get('r-1')?.write(answer('r-1', body))
  await pause(100)
  const stopped = gateway.desk.drain()
  await pause(300)
  caller.resume()
  await stopped
  ok((await caller.whole()).endsWith(body))
})

test('a stop does not cut answers that are whole here but not yet with their caller', async (t) => {
  const { call, waiting, gateway } = await scene(t, { graceMs: 4000 })
  const body = 'abcdefgh'.repeat(120_000)
  const ids = Array.from({ length: 16 }, (_, at) => `r-${String(at)}`)
  const caller = call(ids.map((id) => request(id)).join(''))
  await until(() => waiting.size === ids.length)
  caller.pause()
  for (const [id, socket] of waiting) socket.write(answer(id, body + id))
  await until(() => gateway.task.waiting === 0)
  const stopped = gateway.desk.drain()
  await pause(300)
  caller.resume()
  await stopped
  const text = await caller.whole()
  for (const id of ids) ok(text.includes(body + id), `${id} is not whole`)
})

test('a stop waits for what servers are at work on until the last sixth of its time', async (t) => {
  const graceMs = 2400
  const { call, waiting, gateway } = await scene(t, { graceMs, leaveMs: 100 })
  const caller = call(request('r-1'))
  await until(() => waiting.has('r-1'))
  let ended = false
  const stopped = gateway.desk.drain().then(() => (ended = true))
  await pause((5 / 6) * graceMs + 20)
  // The process ends as soon as the stop does.
  strictEqual(ended, false)
  waiting.get('r-1')?.write(answer('r-1', 'late'))
  ok((await caller.whole()).endsWith('late'), caller.text)
  await stopped
})

const streamHead = (id: string) =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z9\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`
const event = (id: number) => {
  const whole = `id: ${String(id)}\ndata: x\n\n`
  return `${whole.length.toString(16)}\r\n${whole}\r\n`
}

/** A caller with a stream whose head it has before the stop, so that nobody can tell it to leave its connection. */
async function streamBeforeStop(of: Scene, sent = request('s-1')): Promise<{ caller: RawCaller; server: Socket }> {
  const caller = of.call(sent)
  await until(() => of.waiting.has('s-1'))
  const server = of.waiting.get('s-1')
  ok(server !== undefined)
  server.write(streamHead('s-1') + event(1))
  ok(await caller.until('id: 1'))
  return { caller, server }
}

/** Waits until the connection has ended, or the stop is over and what it sent has come. */
async function endOf(caller: RawCaller, stopped: Promise<void>): Promise<void> {
  await Promise.race([caller.whole(), stopped.then(() => pause(100))])
}

// Guards against requests that are taken late in a stop on a kept connection, passed on, and cut when the process ends.
test('a stop passes on nothing that comes late on a kept connection, and refuses it with when to come back', async (t) => {
  const of = await scene(t, { graceMs: 2400, leaveMs: 400 })
  const { caller, server } = await streamBeforeStop(of)
  const stopped = of.gateway.desk.drain()
  await pause(600)
  server.write(`${event(2)}0\r\n\r\n`)
  ok(await caller.until('0\r\n\r\n'))
  caller.send(request('late'))
  await endOf(caller, stopped)
  const text = caller.text.slice(caller.text.indexOf('0\r\n\r\n') + 5)
  ok(text.startsWith('HTTP/1.1 503 '), text)
  ok(/retry-after: /i.test(text) && /connection: close/i.test(text), text)
  ok(!of.waiting.has('late'))
  await stopped
})

test('a stop passes on what comes late with a deadline before its end', async (t) => {
  const of = await scene(t, { graceMs: 2400, leaveMs: 400 })
  const { caller, server } = await streamBeforeStop(of)
  const stopped = of.gateway.desk.drain()
  await pause(600)
  server.write(`${event(2)}0\r\n\r\n`)
  ok(await caller.until('0\r\n\r\n'))
  caller.send(request('late').replace('\r\n\r\n', '\r\ndue-ms: 800\r\n\r\n'))
  await until(() => of.waiting.has('late'))
  of.waiting.get('late')?.write(answer('late', 'in time'))
  ok((await caller.whole()).endsWith('in time'))
  await stopped
})

test('a body that is half read when the stop comes, and whole only late in it, is refused', async (t) => {
  const of = await scene(t, { graceMs: 2400, leaveMs: 400 })
  const caller = of.call('POST /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: slow\r\ncontent-length: 10\r\n\r\nhalf ')
  await pause(50)
  const stopped = of.gateway.desk.drain()
  await pause(600)
  caller.send('whole')
  await endOf(caller, stopped)
  const { text } = caller
  ok(text.startsWith('HTTP/1.1 503 ') && /connection: close/i.test(text), text)
  ok(!of.waiting.has('slow'))
  await stopped
})

test('what comes behind an answer that says it is the last is not passed on', async (t) => {
  const of = await scene(t, { graceMs: 2400, leaveMs: 400 })
  const stopped = of.gateway.desk.drain()
  const { caller, server } = await streamBeforeStop(of)
  ok(/connection: close/i.test(caller.text), caller.text)
  caller.send(request('behind'))
  await pause(50)
  server.write(`${event(2)}0\r\n\r\n`)
  ok((await caller.whole()).endsWith('0\r\n\r\n'), caller.text)
  ok(!of.waiting.has('behind'))
  await stopped
})

test('a request without an answer at the end of a stop gets one before its connection ends', async (t) => {
  const of = await scene(t, { graceMs: 1200, leaveMs: 400 })
  const caller = of.call(request('r-1'))
  await until(() => of.waiting.has('r-1'))
  const stopped = of.gateway.desk.drain()
  await endOf(caller, stopped)
  ok(caller.text.startsWith('HTTP/1.1 502 '), caller.text)
  await stopped
})

// Guards against a gateway that gathers an endless answer without a length until its memory is full.
test('an answer without a length is gathered up to a bound, and goes on as it comes beyond it', async (t) => {
  const { call, waiting } = await scene(t)
  const caller = call(request('r-1'))
  await until(() => waiting.has('r-1'))
  const server = waiting.get('r-1')
  server?.write('HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nseal: z9\r\ntransfer-encoding: chunked\r\n\r\n')
  const piece = `64\r\n${'x'.repeat(100)}\r\n`.repeat(1000)
  const received = () => caller.text.match(/x/g)?.length ?? 0
  for (let sent = 0; sent < 9; sent++) server?.write(piece)
  await pause(100)
  strictEqual(received(), 0)
  for (let sent = 0; sent < 3; sent++) server?.write(piece)
  await TurnClock.own.until(() => received() >= 1_200_000, 3000)
  strictEqual(received(), 1_200_000)
  server?.write('0\r\n\r\n')
  ok(await caller.until('\r\n0\r\n\r\n'))
})

/** A gateway whose requests may hold 2 MB, large ones 1.75 MB of it. */
const smallMemory = { memoryMb: 100 + 2 / 0.3 }
const post = (id: string, bytes: number, sent: number) =>
  `POST /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: ${id}\r\ncontent-length: ${String(bytes)}\r\n\r\n${'x'.repeat(sent)}`

// Guards against bodies that are each within the limit and together end a gateway.
test('bodies that the memory budget has no room for are refused at once, to come back, and small requests go on', async (t) => {
  const { call, waiting, gateway } = await scene(t, smallMemory)
  const held = Array.from({ length: 17 }, (_, at) => call(post(`r-${String(at)}`, 100_000, 99_999)))
  await until(() => gateway.task.memory.bytes >= 1_700_000)
  const refused = call(post('r-17', 100_000, 100_000) + post('r-18', 100_000, 100_000))
  ok(await refused.until('HTTP/1.1 503 '))
  ok(refused.text.includes('request-id: r-17') && refused.text.includes('retry-after: 0.5'), refused.text)
  strictEqual(waiting.size, 0)
  call(request('r-19'))
  await until(() => waiting.has('r-19'))
  for (const caller of held) caller.leave()
  await until(() => gateway.task.memory.bytes === 0)
  call(post('r-20', 100_000, 100_000))
  await until(() => waiting.has('r-20'))
})

test('what a request and its answer held is given back when the answer ends, when its caller leaves, and when it waits behind another', async (t) => {
  const { call, waiting, gateway } = await scene(t, smallMemory)
  const { memory } = gateway.task
  const served = call(post('r-1', 50_000, 50_000))
  await until(() => waiting.has('r-1'))
  ok(memory.bytes >= 50_000, String(memory.bytes))
  waiting.get('r-1')?.write(answer('r-1', 'y'.repeat(30_000)))
  ok(await served.until('yyy'))
  await until(() => memory.bytes === 0)
  const gone = call(post('r-2', 50_000, 50_000) + post('r-3', 50_000, 50_000) + post('r-4', 50_000, 10))
  await until(() => waiting.has('r-2') && waiting.has('r-3'))
  gone.leave()
  await until(() => memory.bytes === 0)
})

// Guards against answers that are each short enough to be gathered and together end a gateway.
test('an answer that the memory budget has no room for goes on as it comes', async (t) => {
  const { call, waiting, gateway } = await scene(t, smallMemory)
  const holder = gateway.task.memory.reserve('requests')
  holder.resize(1_750_000)
  const caller = call(request('r-1'))
  await until(() => waiting.has('r-1'))
  const body = 'z'.repeat(400_000)
  const whole = answer('r-1', body)
  waiting.get('r-1')?.write(whole.slice(0, 300_000))
  ok(await caller.until('zzz'), 'the first part went on before the rest came')
  waiting.get('r-1')?.write(whole.slice(300_000))
  await until(() => caller.text.length > 400_000)
  ok(caller.text.endsWith(body))
  holder.release()
})

// Guards against bytes and connections that are kept for ever of callers that left within their bodies.
test('a caller that leaves in the middle of its body leaves nothing behind', { timeout: 10_000 }, async (t) => {
  const { call, waiting } = await scene(t)
  const alone = call(post('r-1', 50_000, 20_000))
  await pause(50)
  alone.finish()
  await alone.whole()
  const behind = call(request('r-2') + post('r-3', 50_000, 20_000))
  await until(() => waiting.has('r-2'))
  behind.finish()
  await pause(50)
  waiting.get('r-2')?.write(answer('r-2', 'mine'))
  const text = await behind.whole()
  ok(text.startsWith('HTTP/1.1 200 ') && text.endsWith('mine'), text)
  strictEqual(waiting.size, 1)
})

test('a body that is no longer well formed half-way is refused', { timeout: 10_000 }, async (t) => {
  const { call } = await scene(t)
  const head = 'POST /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n'
  const caller = call(`${head}5\r\nhello\r\nthis is no length\r\n`)
  ok((await caller.whole()).startsWith('HTTP/1.1 400 '), caller.text)
})
