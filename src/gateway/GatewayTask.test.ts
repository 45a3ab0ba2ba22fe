/**
 * The byte path of a gateway over real sockets: a task fed with news as its core would, a row of scripted
 * servers behind it and plain callers before it. What callers see is held against what it must be, byte by byte.
 */
import { deepStrictEqual, match, ok, strictEqual } from 'node:assert'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { RouteFormat } from '../adapters/RouteFormat.js'
import type { GatewayTask } from './GatewayTask.js'
import { RawCaller } from './testing/RawCaller.js'
import { RawServer } from './testing/RawServer.js'
import { TestGateway } from './testing/TestGateway.js'

type Script = ConstructorParameters<typeof RawServer>[0]

const date = 'date: Thu, 01 Jan 2026 00:00:00 GMT\r\n'
const bodyLimit = 100_000

interface Scene {
  servers: RawServer[]
  call: (path: string, more?: string, body?: string) => RawCaller
  raw: (sent: string) => RawCaller
  task: GatewayTask
}

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

/** A gateway with one server for each script, which it takes in that order. */
async function scene(t: TestContext, scripts: Script[], told = true): Promise<Scene> {
  const servers = scripts.map((script) => new RawServer(script))
  const addresses = await Promise.all(servers.map((one) => one.open()))
  const values: [string, object][] = [
    ['network', { revision: 1, limits: { headerBytes: 16_384, bodyBytes: bodyLimit, headerMs: 5000, idleMs: 5000 } }],
    ['service/app', { name: 'app', connections: 100 }],
    ...[route('once', 'once'), route('often', 'repeatable'), route('stream', 'stream', { resumable: true }), route('single', 'stream')].map(
      (one): [string, object] => [`route/${one.name}`, one],
    ),
    ...addresses.map((address, at): [string, object] => [
      `server/s-${String(at)}`,
      { name: `s-${String(at)}`, address, zone: at === 0 ? 'a' : 'b', service: 'app', capacity: 8 },
    ]),
  ]
  // The order of the servers must not depend on how fast the first answers come on this machine.
  const gateway = await TestGateway.open(RouteFormat, { without: ['latency-estimate'] })
  const { address, task } = gateway
  if (told) gateway.tell(values)
  const callers: RawCaller[] = []
  const raw = (sent: string) => {
    const caller = new RawCaller(address, sent)
    callers.push(caller)
    return caller
  }
  t.after(async () => {
    for (const caller of callers) caller.leave()
    for (const server of servers) server.close()
    await gateway.stop()
  })
  return {
    servers,
    task,
    raw,
    call: (path, more = '', body = '') =>
      raw(
        `POST ${path} HTTP/1.1\r\nhost: h.example\r\nrequest-id: r-1\r\nconnection: close\r\ncontent-length: ${String(body.length)}\r\n${more}\r\n${body}`,
      ),
  }
}

const answer = (body: string, more = '', id = 'r-1') =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: z9\r\n${date}${more}content-length: ${String(body.length)}\r\n\r\n${body}`
const seen = (body: string, more = '') =>
  `HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nseal: z9\r\n${date}${more}content-length: ${String(body.length)}\r\nConnection: close\r\n\r\n${body}`
const refused = (status: string, why: string, more = '') => {
  const body = JSON.stringify({ why })
  return `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${String(body.length)}\r\nrequest-id: r-1\r\n${more}Connection: close\r\n\r\n${body}`
}
const undated = (text: string) => text.replace(/Date: [^\r\n]*\r\n/, '')
const answers =
  (text: string): Script =>
  (_heard, socket) =>
    socket.write(text)

const streamHead = (seal = 'z9') =>
  `HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nseal: ${seal}\r\n${date}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`
const streamSeen = `HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nseal: z9\r\n${date}content-type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n`
const event = (id: number) => `id: ${String(id)}\ndata: token ${String(id)}\n\n`
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`
const lastChunk = '0\r\n\r\n'

test('a whole answer comes back byte for byte, and the server is told what it must know', async (t) => {
  const { call, servers } = await scene(t, [answers(answer('the bytes ~\x00\x01', 'x-own: 1, 2\r\nx-hop: 1\r\nconnection: x-hop\r\n'))])
  const caller = call('/once/x?y=%20z', 'due-ms: 5000\r\nx-Kept: As it Was\r\nkeep-alive: timeout=1\r\n', 'a body')
  strictEqual(await caller.whole(), seen('the bytes ~\x00\x01', 'x-own: 1, 2\r\n'))
  const [heard] = servers[0]?.heard ?? []
  strictEqual(heard?.line, 'POST /once/x?y=%20z HTTP/1.1')
  strictEqual(heard.body, 'a body')
  const { 'due-ms': due, connection, ...headers } = heard.headers
  ok(Number(due) > 0 && Number(due) <= 5000)
  strictEqual(connection, 'keep-alive')
  deepStrictEqual(headers, {
    host: 'h.example',
    'request-id': 'r-1',
    'x-kept': 'As it Was',
    'for-server': 's-0',
    'content-length': '6',
  })
})

test('a body in chunks goes on whole; one over the limit of the network in force is refused', async (t) => {
  const { raw, servers } = await scene(t, [answers(answer('ok'))])
  const head = 'POST /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: r-1\r\nconnection: close\r\n'
  strictEqual(await raw(`${head}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n`).whole(), seen('ok'))
  strictEqual(servers[0]?.heard[0]?.body, 'abcdefg')
  const long = 'x'.repeat(bodyLimit + 1)
  const refusal = await raw(`${head}content-length: ${String(long.length)}\r\n\r\n${long}`).whole()
  match(refusal, /^HTTP\/1\.1 413 /)
  strictEqual(servers[0].heard.length, 1)
})

test('a request without a route gets 404; before the network is here all get a promise of 503', async (t) => {
  const known = await scene(t, [])
  strictEqual(undated(await known.call('/none/x').whole()), refused('404 Not Found', 'no route leads there'))
  const early = await scene(t, [], false)
  const text = undated(await early.call('/once/x').whole())
  strictEqual(text, refused('503 Service Unavailable', 'has no network in force yet', 'retry-after: 1.440\r\n'))
})

test('requests are counted by how they ended, refusals by their reason, tries by whether they are further ones', async (t) => {
  const refuses = answers(`HTTP/1.1 503 Busy\r\nrequest-id: r-1\r\nverdict: NotRun\r\n${date}content-length: 0\r\n\r\n`)
  const { call, task } = await scene(t, [refuses, answers(answer('ok'))])
  await call('/often/x').whole()
  await call('/none/x').whole()
  await call('/none/x').whole()
  const counted = (samples: { labels: Record<string, string>; value: number }[]) =>
    samples.map(({ labels, value }) => [...Object.values(labels), value].join(' ')).sort()
  deepStrictEqual(counted(task.counts.requests), ['refused 404 2', 'served 200 1'])
  deepStrictEqual(counted(task.counts.refusals), ['no_route 2'])
  deepStrictEqual(counted(task.counts.attempts), ['first 1', 'further 1'])
  const { ready, in_touch: inTouch, requests_open: open, requests_held: held, servers_known: servers } = task.figures
  deepStrictEqual({ ready, inTouch, open, held, servers }, { ready: 1, inTouch: 1, open: 0, held: 0, servers: 2 })
})

test('a caller that leaves, and an answer that is cut, are counted as such', async (t) => {
  const { call, task } = await scene(t, [
    (heard, socket) => {
      if (heard.line.includes('/single/')) socket.end(`${streamHead()}${chunk(event(1))}`)
    },
  ])
  await call('/single/x').whole()
  const caller = call('/once/x')
  while (task.machine.open === 0) await new Promise((resolve) => setImmediate(resolve))
  caller.leave()
  while (task.machine.open > 0) await new Promise((resolve) => setImmediate(resolve))
  deepStrictEqual(task.counts.requests, [
    { labels: { outcome: 'broken_off', status: '' }, value: 1 },
    { labels: { outcome: 'caller_gone', status: '' }, value: 1 },
  ])
})

test('events go on as they come, each once it is whole', async (t) => {
  const steps: ((text: string) => void)[] = []
  const { call } = await scene(t, [
    (_heard, socket) => {
      socket.write(streamHead())
      steps.push((text) => socket.write(text))
    },
  ])
  const caller = call('/stream/x')
  const send = async (text: string) => {
    while (steps.length === 0) await new Promise((resolve) => setImmediate(resolve))
    steps[0]?.(text)
  }
  await send(chunk(event(1)))
  ok(await caller.until('token 1\n\n'))
  strictEqual(caller.text, streamSeen + chunk(event(1)))
  await send(chunk(event(2) + event(3).slice(0, 5)))
  ok(await caller.until('token 2\n\n'))
  strictEqual(caller.text, streamSeen + chunk(event(1)) + chunk(event(2)))
  await send(chunk(event(3).slice(5)) + lastChunk)
  strictEqual(await caller.whole(), streamSeen + [1, 2, 3].map((id) => chunk(event(id))).join('') + lastChunk)
})

const cut: Script = (_heard, socket) => socket.end(answer('half of it').slice(0, -5))

test('an answer cut short before any of it was passed on is repeated where it may be', async (t) => {
  const { call, servers } = await scene(t, [cut, answers(answer('whole'))])
  strictEqual(await call('/often/x', '', 'again').whole(), seen('whole'))
  deepStrictEqual(
    servers.map((one) => one.heard.map(({ body }) => body)),
    [['again'], ['again']],
  )
})

test('an answer cut short that may not be repeated is a 502', async (t) => {
  const { call, servers } = await scene(t, [cut, answers(answer('whole'))])
  match(undated(await call('/once/x').whole()), /^HTTP\/1\.1 502 Bad Gateway\r\n(?!.*retry-after)/s)
  strictEqual(servers[1]?.heard.length, 0)
})

test('a stream that dies before its first event and may not be resumed is a 502', async (t) => {
  const { call, servers } = await scene(t, [(_heard, socket) => socket.end(streamHead()), answers(streamHead() + lastChunk)])
  match(undated(await call('/single/x').whole()), /^HTTP\/1\.1 502 Bad Gateway\r\n/)
  strictEqual(servers[1]?.heard.length, 0)
})

for (const [said, text, why] of [
  ['an answer that carries another id', answer('theirs', '', 'r-0'), 'an answer to another request'],
  ['an answer without a seal', answer('forged').replace('seal: z9\r\n', ''), 'the answer is not sealed'],
] as const) {
  test(`${said} never shows: repeated where it may be, else 502`, async (t) => {
    const { call, servers } = await scene(t, [answers(text), answers(answer('right'))])
    strictEqual(await call('/often/x').whole(), seen('right'))
    const single = await scene(t, [answers(text), answers(answer('right'))])
    strictEqual(undated(await single.call('/once/x').whole()), refused('502 Bad Gateway', why))
    deepStrictEqual([servers[0]?.heard.length, single.servers[0]?.heard.length, single.servers[1]?.heard.length], [1, 1, 0])
  })
}

test('an extra answer behind a whole one belongs to nobody, and its connection is not used again', async (t) => {
  const { call, servers } = await scene(t, [
    (_heard, socket, run) => {
      socket.write(answer(`run ${String(run)}`) + answer('extra'))
    },
  ])
  strictEqual(await call('/once/x').whole(), seen('run 1'))
  strictEqual(await call('/once/x').whole(), seen('run 2'))
  strictEqual(servers[0]?.connections, 2)
})

test('an extra answer that comes late, in the place of the next one, is told by its id', async (t) => {
  const { call, servers } = await scene(t, [
    (_heard, socket, run) => {
      socket.write(run === 1 ? answer('first') : answer('first', '', 'r-0') + answer('second'))
    },
    answers(answer('elsewhere')),
  ])
  strictEqual(await call('/often/x').whole(), seen('first'))
  strictEqual(await call('/often/x').whole(), seen('elsewhere'))
  deepStrictEqual([servers[0]?.heard.length, servers[1]?.heard.length], [2, 1])
})

const notRun = 'HTTP/1.1 503 Service Unavailable\r\nrequest-id: r-1\r\nverdict: NotRun\r\ncontent-length: 4\r\n\r\nfull'

test('a request that did not run goes elsewhere, also one that may run only once', async (t) => {
  const { call, servers } = await scene(t, [answers(notRun), answers(answer('there'))])
  strictEqual(await call('/once/x', '', 'body').whole(), seen('there'))
  deepStrictEqual(
    servers.map((one) => one.heard.length),
    [1, 1],
  )
  strictEqual(servers[1]?.heard[0]?.headers['for-server'], 's-1')
})

test('when no server ran it, the caller is promised so and told when to come back', async (t) => {
  const { call, servers } = await scene(t, [answers(notRun), answers(notRun), answers(notRun)])
  const expected = refused('503 Service Unavailable', 'the server turned it away with 503', 'retry-after: 1.000\r\n')
  strictEqual(undated(await call('/once/x').whole()), expected)
  strictEqual(
    servers.reduce((sum, one) => sum + one.heard.length, 0),
    2,
  )
})

test("a server's own refusals come back unchanged, sealed or not", async (t) => {
  const text = `HTTP/1.1 404 Not Found\r\nrequest-id: r-1\r\n${date}content-length: 4\r\n\r\nnone`
  const { call } = await scene(t, [answers(text)])
  strictEqual(
    await call('/once/x').whole(),
    `HTTP/1.1 404 Not Found\r\nrequest-id: r-1\r\n${date}content-length: 4\r\nConnection: close\r\n\r\nnone`,
  )
})

/** A server that sends two events and half of a third, and dies once the caller has the two. */
function dying(): { script: Script; die: () => void } {
  const sockets: Socket[] = []
  return {
    script: (_heard, socket) => {
      sockets.push(socket)
      socket.write(streamHead() + chunk(event(1)) + chunk(event(2)) + chunk(event(3).slice(0, 8)))
    },
    die: () => {
      for (const socket of sockets) socket.destroy()
    },
  }
}

test('a stream that may be resumed goes on at another server after the last whole event, in one answer', async (t) => {
  const first = dying()
  const { call, servers } = await scene(t, [first.script, answers(streamHead('other') + chunk(event(3)) + chunk(event(4)) + lastChunk)])
  const caller = call('/stream/x', '', 'prompt')
  ok(await caller.until('token 2\n\n'))
  first.die()
  strictEqual(await caller.whole(), streamSeen + [1, 2, 3, 4].map((id) => chunk(event(id))).join('') + lastChunk)
  const resumed = servers[1]?.heard[0]
  strictEqual(resumed?.headers['resume-after'], '2')
  strictEqual(resumed.body, 'prompt')
  strictEqual(servers[0]?.heard[0]?.headers['resume-after'], undefined)
})

test('a stream whose weights change goes on elsewhere with the head of its first server, wherever that broke off', async (t) => {
  const changed = (id: number) => `weight-versions: 8\n${event(id)}`
  const head = (version: number, seal: string) => streamHead(seal).replace(date, `${date}weight-versions: ${String(version)}\r\n`)
  for (let kept = 0; kept <= changed(3).length; kept += 4) {
    let first: Socket | undefined
    const { call, servers } = await scene(t, [
      (_heard, socket) => {
        first = socket
        const part = changed(3).slice(0, kept)
        socket.write(head(7, 'z9') + chunk(event(1)) + chunk(event(2)) + (part === '' ? '' : chunk(part)))
      },
      answers(head(8, 'other') + chunk(changed(3)) + chunk(event(4)) + lastChunk),
    ])
    const caller = call('/stream/x')
    ok(await caller.until('token 2\n\n'))
    if (kept >= changed(3).length) ok(await caller.until('token 3\n\n'))
    first?.destroy()
    // A whole third event went on already, and the second server's third is then one that the caller has.
    const third = kept >= changed(3).length
    const expected = streamSeen.replace(date, `${date}weight-versions: 7\r\n`)
    const events = third ? [event(1), event(2), changed(3)] : [event(1), event(2), changed(3), event(4)]
    strictEqual(await caller.whole(), expected + events.map((one) => chunk(one)).join('') + (third ? '' : lastChunk), String(kept))
    strictEqual(servers[1]?.heard[0]?.headers['resume-after'], third ? '3' : '2')
  }
})

test("a caller's own last event is what its first server resumes after", async (t) => {
  const { call, servers } = await scene(t, [answers(streamHead() + chunk(event(8)) + lastChunk)])
  strictEqual(await call('/stream/x', 'resume-after: 7\r\n').whole(), streamSeen + chunk(event(8)) + lastChunk)
  strictEqual(servers[0]?.heard[0]?.headers['resume-after'], '7')
})

test('a stream that may not be resumed is broken off where it died, and is sent nowhere else', async (t) => {
  const first = dying()
  const { call, servers } = await scene(t, [first.script, answers(streamHead() + chunk(event(3)) + lastChunk)])
  const caller = call('/single/x')
  ok(await caller.until('token 2\n\n'))
  first.die()
  strictEqual(await caller.whole(), streamSeen + chunk(event(1)) + chunk(event(2)))
  strictEqual(servers[1]?.heard.length, 0)
})

test('a resumed stream that no server takes up again is broken off, never ended as whole', async (t) => {
  const first = dying()
  const { call } = await scene(t, [first.script, answers(answer('no').replace('200 OK', '404 Not Found'))])
  const caller = call('/stream/x')
  ok(await caller.until('token 2\n\n'))
  first.die()
  strictEqual(await caller.whole(), streamSeen + chunk(event(1)) + chunk(event(2)))
})

test('a large answer goes through without being gathered, and a cut of it shows as a cut', async (t) => {
  const large = 'abcdefgh'.repeat(200_000)
  const { call } = await scene(t, [answers(answer(large))])
  const text = await call('/once/x').whole()
  strictEqual(text.length, seen(large).length)
  ok(text === seen(large))
  const short = await scene(t, [(_heard, socket) => socket.end(answer(large).slice(0, -1))])
  const cut = await short.call('/once/x').whole()
  ok(seen(large).startsWith(cut) && cut.length < seen(large).length)
})

test('a caller that leaves ends its request at the server too', async (t) => {
  let left = false
  const { call, task } = await scene(t, [
    (_heard, socket, run) => {
      if (run > 1) socket.write(answer('next'))
      else {
        socket.on('close', () => {
          left = true
        })
        socket.write(streamHead() + chunk(event(1)))
      }
    },
  ])
  const caller = call('/stream/x')
  ok(await caller.until('token 1\n\n'))
  caller.leave()
  while (task.waiting > 0) await new Promise((resolve) => setImmediate(resolve))
  strictEqual(await call('/once/x').whole(), seen('next'))
  ok(left)
})

const spoiled: [string, string][] = [
  ['a control byte in the head', answer('x', 'x-own: a\x01b\r\n')],
  ['a status below all that there are', answer('x').replace('200', '099')],
  ['a status of four digits', answer('x').replace('200', '1200')],
  ['a status that asks for another protocol', answer('x').replace('200 OK', '101 Switching Protocols')],
  ['another protocol', answer('x').replace('HTTP/1.1', 'HTTP/7.1')],
  ['a length below nothing', answer('x').replace('content-length: 1', 'content-length: -1')],
  ['two lengths', answer('x', 'content-length: 2\r\n')],
  ['chunks and a length', answer('x', 'transfer-encoding: chunked\r\n')],
  ['a chunk without a size', answer('x').replace('content-length: 1\r\n\r\nx', 'transfer-encoding: chunked\r\n\r\nz\r\nx\r\n0\r\n\r\n')],
  ['no answer at all', 'x'.repeat(300)],
]
for (const [said, text] of spoiled) {
  test(`an answer with ${said} never shows, ends its connection and leaves the next request alone`, async (t) => {
    const { call, servers } = await scene(t, [
      (_heard, socket, run) => {
        socket.write(run === 1 ? text : answer('next'), 'latin1')
      },
    ])
    match(await call('/once/x').whole(), /^HTTP\/1\.1 502 /)
    const { text: next } = await later(() => call('/once/x'))
    strictEqual(next, seen('next'))
    deepStrictEqual([servers[0]?.heard.length, servers[0]?.connections], [2, 2])
  })
}

/** Calls until it is not refused: a server that failed is left alone for a moment. */
async function later(call: () => RawCaller): Promise<RawCaller> {
  for (;;) {
    const caller = call()
    if (!(await caller.whole()).startsWith('HTTP/1.1 503 ')) return caller
  }
}

test('a stream is not continued by an answer that is no stream, nor by events that the caller has already', async (t) => {
  for (const second of [answer('no stream'), streamHead('other') + chunk(event(2)) + chunk(event(3)) + lastChunk]) {
    const first = dying()
    const { call } = await scene(t, [first.script, answers(second)])
    const caller = call('/stream/x')
    ok(await caller.until('token 2\n\n'))
    first.die()
    strictEqual(await caller.whole(), streamSeen + chunk(event(1)) + chunk(event(2)))
  }
})

test('a large answer to a route of streams is not continued by another run', async (t) => {
  const large = 'abcdefgh'.repeat(200_000)
  const { call, servers } = await scene(t, [(_heard, socket) => socket.end(answer(large).slice(0, -1)), answers(answer(large))])
  const text = await call('/stream/x').whole()
  ok(seen(large).startsWith(text) && text.length < seen(large).length)
  strictEqual(servers[1]?.heard.length, 0)
})
