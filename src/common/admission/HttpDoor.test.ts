import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { OwnLoopback } from '../testing/OwnLoopback.js'
import { MemoryBudget } from '../MemoryBudget.js'
import type { BodyOutcome } from './BodyOutcome.js'
import { GarbagePacer } from './GarbagePacer.js'
import { HttpDoor } from './HttpDoor.js'

const limits = { connections: 4, openRequests: 100, waitingRequests: 40 }
const bodyBytes = 1_000_000

/** A server behind a door: it reads bodies, and answers when it is told to, or at once. */
async function scene(t: TestContext, answersAtOnce: boolean, { memoryBytes = 10_000_000, idleMs = 300 } = {}) {
  const server = createServer()
  const memory = new MemoryBudget(memoryBytes)
  const outcomes: BodyOutcome['kind'][] = []
  const open: ServerResponse[] = []
  const door = new HttpDoor(server, limits, new GarbagePacer(512, () => undefined), {
    serve: (request, response) => {
      const reservation = memory.reserve('bodies')
      response.once('close', () => {
        reservation.release()
      })
      void door.readBody(request, response, { bytes: bodyBytes, idleMs }, reservation).then(({ kind }) => {
        outcomes.push(kind)
        if (answersAtOnce) response.end(kind)
        else open.push(response)
      })
    },
    refuse: (_request, response) => response.writeHead(503).end(),
  })
  const address = await OwnLoopback.listen(server)
  const clients: Socket[] = []
  t.after(async () => {
    for (const client of clients) client.destroy()
    server.close()
    server.closeAllConnections()
    await once(server, 'close')
  })
  const call = (text: string) => {
    const [host = '', port = ''] = address.split(':')
    const client = connect(Number(port), host)
    clients.push(client)
    const seen = { client, text: '', isClosed: false }
    client.on('error', () => undefined)
    client.on('data', (bytes: Buffer) => (seen.text += bytes.toString('latin1')))
    client.on('close', () => (seen.isClosed = true))
    client.write(text)
    return seen
  }
  return { call, door, memory, open, outcomes }
}

async function until(isSo: () => boolean): Promise<void> {
  for (let turn = 0; turn < 2000; turn++) {
    if (isSo()) return
    await pause(5)
  }
  ok(isSo(), 'never so')
}

const get = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
const post = (bytes: number, sent: number) => `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${String(bytes)}\r\n\r\n${'x'.repeat(sent)}`

test('requests behind sixteen without an answer wait, and are begun in their order as answers go out', async (t) => {
  const { call, door, open } = await scene(t, false)
  const seen = call(get.repeat(20))
  await until(() => open.length === 16 && door.figures.waitingRequests === 4)
  open.shift()?.end('first')
  await until(() => open.length === 16 && door.figures.waitingRequests === 3)
  while (open.length > 0 || door.figures.waitingRequests > 0) {
    open.shift()?.end('more')
    await pause(1)
  }
  await until(() => (seen.text.match(/HTTP\/1\.1 200/g) ?? []).length === 20)
  strictEqual(door.figures.openRequests, 0)
})

test('a connection whose requests find no place to wait is closed, and none of them counts any more', async (t) => {
  const { call, door, open } = await scene(t, false)
  const seen = call(get.repeat(200))
  await until(() => seen.isClosed)
  const { closedForRequests, openRequests, waitingRequests } = door.figures
  ok(closedForRequests > 0)
  deepStrictEqual([openRequests, waitingRequests], [0, 0])
  ok(open.length <= 16)
})

test('the connection that has rested longest is closed for a new one', async (t) => {
  const { call, door } = await scene(t, true)
  const resting = Array.from({ length: 4 }, () => call(''))
  await until(() => door.figures.connections === 4)
  const newest = call(get)
  await until(() => newest.text.includes('whole'))
  strictEqual(resting.filter(({ isClosed }) => isClosed).length, 1)
})

test('a body that does not go on is ended, and gives back what it held', async (t) => {
  const { call, memory, outcomes } = await scene(t, true)
  const seen = call(post(100_000, 50_000))
  await until(() => memory.bytes > 0)
  await until(() => seen.isClosed)
  deepStrictEqual(outcomes, ['tooSlow'])
  strictEqual(memory.bytes, 0)
})

test('a silent body makes way for one that goes on where memory is wanting', async (t) => {
  const { call, outcomes } = await scene(t, true, { memoryBytes: 200_000, idleMs: 60_000 })
  call(post(100_000, 99_999))
  await pause(700)
  const seen = call(post(100_000, 100_000))
  await until(() => seen.text.includes('whole'))
  // The refusal waits a moment for what may still come of its body.
  await until(() => outcomes.length === 2)
  deepStrictEqual(outcomes, ['whole', 'tooSlow'])
})

test('a body over the limit is refused as it is announced, and one without a length once it is over', async (t) => {
  const { call, outcomes } = await scene(t, true)
  const announced = call(post(1_000_001, 10))
  const sent = call(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${`2710\r\n${'x'.repeat(10_000)}\r\n`.repeat(101)}`)
  await until(() => announced.text.includes('tooLong') && sent.text.includes('tooLong'))
  deepStrictEqual(outcomes, ['tooLong', 'tooLong'])
  await until(() => announced.isClosed && sent.isClosed)
})

test('one body in chunks of one byte is served', async (t) => {
  const { call } = await scene(t, true)
  const seen = call(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(200_000)}0\r\n\r\n`)
  await until(() => seen.text.includes('whole'))
})
