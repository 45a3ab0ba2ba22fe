/**
 * The client library's own habits, by what arrives at a server: it sends nothing again by itself, has one
 * request at a time on a connection and never uses one again that carried more than its answer.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import type { Dispatcher } from 'undici'
import { RawServer } from './testing/RawServer.js'
import { Upstream } from './Upstream.js'

interface Scene {
  server: RawServer
  /** Ends as the answer's body, or as what went wrong. */
  send: (path: string, method?: Dispatcher.HttpMethod) => Promise<string>
  starts: Map<string, number>
}

async function scene(t: TestContext, script: ConstructorParameters<typeof RawServer>[0], connections = 1): Promise<Scene> {
  const server = new RawServer(script)
  const address = await server.open()
  const upstream = new Upstream({ connectMs: 1000, idleMs: 1000 })
  const starts = new Map<string, number>()
  t.after(() => {
    upstream.close()
    server.close()
  })
  const send = (path: string, method: Dispatcher.HttpMethod = 'GET') =>
    new Promise<string>((resolve) => {
      let body = ''
      upstream.dispatch(
        's-0',
        address,
        connections,
        { path, method },
        {
          onRequestStart: () => starts.set(path, (starts.get(path) ?? 0) + 1),
          onResponseData: (_controller, chunk) => (body += chunk.toString()),
          onResponseEnd: () => {
            resolve(body)
          },
          onResponseError: (_controller, error) => {
            resolve(`failed: ${error.message}`)
          },
        },
      )
    })
  return { server, send, starts }
}

const answer = (body: string, more = '') => `HTTP/1.1 200 OK\r\n${more}content-length: ${String(body.length)}\r\n\r\n${body}`
const lines = (server: RawServer) => server.heard.map(({ line }) => line.split(' ')[1])

const losses: [string, (socket: Socket) => void][] = [
  ['a reset', (socket) => socket.resetAndDestroy()],
  ['a close', (socket) => socket.destroy()],
  ['an end', (socket) => socket.end()],
  [
    'a reset after a part',
    (socket) => {
      socket.write(answer('whole').slice(0, -2), () => socket.resetAndDestroy())
    },
  ],
]
for (const [said, lose] of losses) {
  for (const method of ['GET', 'HEAD', 'PUT', 'POST'] as const) {
    test(`${method}: after ${said} on a kept connection nothing is sent again`, async (t) => {
      const { server, send, starts } = await scene(t, (_heard, socket, run) => {
        if (run === 1) socket.write(answer('first'))
        else lose(socket)
      })
      strictEqual(await send('/1'), 'first')
      ok((await send('/2', method)).startsWith(method === 'HEAD' && said === 'a reset after a part' ? '' : 'failed: '))
      await pause(30)
      deepStrictEqual(lines(server), ['/1', '/2'])
      strictEqual(starts.get('/2'), 1)
    })
  }
}

test('a connection that its server resets while it rests costs no request twice', async (t) => {
  for (let waitMs = 0; waitMs < 12; waitMs++) {
    const { server, send, starts } = await scene(t, (_heard, socket, run) => {
      socket.write(answer(`run ${String(run)}`))
      if (run === 1) setTimeout(() => socket.resetAndDestroy(), 6)
    })
    await send('/1')
    await pause(waitMs)
    await send('/2')
    await pause(10)
    const arrived = lines(server).filter((path) => path === '/2').length
    const started = starts.get('/2') ?? 0
    ok(arrived <= started && started <= 1, `arrived ${String(arrived)} times of ${String(started)} starts`)
  }
})

test('a connection has one request at a time, and those behind it wait', async (t) => {
  let open = 0
  let most = 0
  const { server, send } = await scene(t, (_heard, socket) => {
    open += 1
    most = Math.max(most, open)
    setTimeout(() => {
      open -= 1
      socket.write(answer('x'))
    }, 5)
  })
  await Promise.all(Array.from({ length: 8 }, (_, at) => send(`/${String(at)}`)))
  strictEqual(most, 1)
  strictEqual(server.connections, 1)
  strictEqual(server.heard.length, 8)
})

for (const [said, surplus] of [
  ['a second answer', answer('surplus')],
  ['garbage', 'garbage\r\n\r\n'],
  ['one byte', 'H'],
] as const) {
  for (const afterMs of [0, 5]) {
    test(`${said} behind a whole answer, ${String(afterMs)} ms later, ends its connection`, async (t) => {
      let ended = false
      const { server, send } = await scene(t, (_heard, socket, run) => {
        if (run > 1) {
          socket.write(answer('second'))
          return
        }
        socket.on('close', () => {
          ended = true
        })
        if (afterMs === 0) socket.write(answer('first') + surplus)
        else socket.write(answer('first'), () => setTimeout(() => socket.write(surplus), afterMs))
      })
      strictEqual(await send('/1'), 'first')
      await pause(afterMs === 0 ? 0 : 30)
      strictEqual(await send('/2'), 'second')
      strictEqual(server.connections, 2)
      ok(ended)
    })
  }
}
