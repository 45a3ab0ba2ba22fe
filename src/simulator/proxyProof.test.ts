/**
 * The byte path of a proxy over real sockets: the daemon's own tasks on a loopback transport, with a
 * row of scripted servers behind it and plain callers before it.
 */
import { test } from 'node:test'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { deepStrictEqual, match, ok, strictEqual } from 'node:assert'
import { Agent, request as call } from 'undici'
import { z } from 'zod'
import { Logger } from '../common/Logger.js'
import { Meters } from '../common/Meters.js'
import { Startup } from '../common/Startup.js'
import { ServerFormat } from '../adapters/ServerFormat.js'
import { Timings } from '../common/Timings.js'
import { OwnLoopback } from '../common/testing/OwnLoopback.js'
import { TcpTransport } from '../transport/TcpTransport.js'
import { CallersDesk } from '../proxy/CallersDesk.js'
import { ProxyTask } from '../proxy/ProxyTask.js'

const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12_000 })
interface Scene {
  address: string
  runs: () => number
  heads: string[]
  stop: () => Promise<void>
  close: () => Promise<void>
}

/** A proxy that may work, and one service `s` whose only server answers by the given script. */
async function proxyProof(
  script: (request: IncomingMessage, response: ServerResponse, run: number) => void,
  name = 's-1',
  repeatable = false,
): Promise<Scene> {
  let runs = 0
  const heads: string[] = []
  const server: Server = createServer((request, response) => {
    heads.push(request.url ?? '')
    if (request.url === ServerFormat.identityPath) {
      const body = JSON.stringify({ server: name, incarnation: 'i', upMs: 1e6 })
      response.writeHead(200, { 'content-length': body.length }).end(body)
      return
    }
    runs += 1
    request.resume()
    script(request, response, runs)
  })
  const address = await OwnLoopback.listen(server)
  const agent = await TcpTransport.open('post', OwnLoopback.anyPort, timings)
  const row = (key: string, value: unknown) => ({ key, stamp: 1, gone: false, value: JSON.stringify(value) })
  const charter = {
    defaults: {
      dueMs: 5000,
      bodyLimitBytes: 1_000_000,
      retryRatio: 0.2,
      retryAllowance: 4,
      coldLimit: 4,
      warmMs: 0,
      serverLimit: 50,
      intent: { weight: 1, coldStartCost: 1, hours: [] },
    },
    partners: { g: { services: { s: { servers: ['s-1'], repeatable } } } },
    fleet: { servers: { 's-1': { kind: 'service' } }, storePaceMbPerS: 1, storeBurstMb: 1 },
  }
  const rows = [
    row('charter', charter),
    row('server/s-1', { name: 's-1', address, zone: 'a', draining: false }),
    row('seat/post', { role: 'agent', zone: 'a', retired: false }),
  ]
  let followedMs = 0
  agent.hear((_from, fromAddress, message) => {
    if (message.kind === 'ask') {
      const again = message.again.map((one) => one.id)
      agent.send(fromAddress, {
        kind: 'permit',
        sentMs: followedMs,
        forMs: 60_000,
        lentMs: 60_000,
        serial: 1,
        shares: [],
        again,
        barred: [],
      })
    }
    if (message.kind !== 'follow') return
    followedMs = message.sentMs
    agent.send(fromAddress, { kind: 'news', stamp: 1, since: 0, rows })
    agent.send(fromAddress, {
      kind: 'permit',
      sentMs: message.sentMs,
      forMs: 60_000,
      lentMs: 60_000,
      serial: 1,
      shares: [],
      again: [],
      barred: [],
    })
  })
  const startup = Startup.proxy.parse({
    name: 'post-proxy',
    seat: 'post',
    zone: 'a',
    transport: OwnLoopback.anyPort,
    agent: agent.address,
    callers: OwnLoopback.anyPort,
    logLevel: 'silent',
  })
  const meters = new Meters('proxy', 'post')
  const task = new ProxyTask(
    startup,
    new Logger('proxy', 'post', 'silent'),
    await TcpTransport.open('post-proxy', OwnLoopback.anyPort, timings),
    meters,
  )
  const desk = new CallersDesk(startup, task, meters)
  return {
    address: await desk.open(),
    runs: () => runs,
    heads,
    stop: () => desk.drain(),
    close: async () => {
      server.close()
      server.closeAllConnections()
      await task.stop()
      await agent.close()
      await desk.drain()
    },
  }
}

const post = (scene: Scene, body = '', dispatcher = new Agent({ keepAliveTimeout: 1 })) =>
  call(`http://${scene.address}/v1/services/s/x`, { method: 'POST', body, dispatcher, headers: { 'due-ms': '4000' } })

const turns = async (ready: () => boolean) => {
  while (!ready()) await new Promise((resolve) => setImmediate(resolve))
}

test('a large body goes up and a long stream comes down whole, also to a slow reader', async () => {
  const scene = await proxyProof((request, response) => {
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
    })
    request.on('end', () => {
      response.write(`${String(bytes)}\n`)
      let at = 0
      const more = () => {
        while (at < 400) {
          at += 1
          if (!response.write(`${String(at).padStart(9, '0')}${'x'.repeat(40_000)}\n`)) {
            response.once('drain', more)
            return
          }
        }
        response.end()
      }
      more()
    })
  })
  const reply = await post(scene, 'y'.repeat(900_000))
  strictEqual(reply.statusCode, 200)
  let bytes = 0
  for await (const chunk of reply.body) {
    if (Buffer.isBuffer(chunk)) bytes += chunk.length
    await new Promise((resolve) => setImmediate(resolve))
  }
  strictEqual(bytes, 7 + 400 * 40_010)
  await scene.close()
})

test('a response that ends short breaks off the caller, chunked or by length, and is not run again', async () => {
  for (const head of [{}, { 'content-length': '1000' }]) {
    const scene = await proxyProof(
      (_request, response) => {
        response.writeHead(200, head)
        response.write('part', () => response.destroy())
      },
      's-1',
      true,
    )
    const reply = await post(scene)
    strictEqual(await reply.body.text().catch(() => 'broken off'), 'broken off')
    strictEqual(scene.runs(), 1)
    await scene.close()
  }
})

test('a response without length or last chunk does not end cleanly either', async () => {
  const scene = await proxyProof((_request, response) => {
    response.removeHeader('transfer-encoding')
    response.socket?.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart')
  })
  const reply = await post(scene)
  strictEqual(await reply.body.text().catch(() => 'broken off'), 'broken off')
  await scene.close()
})

test('a connection that breaks before a head: told MayHaveRun, or run again if repeatable', async () => {
  const once1 = await proxyProof((_request, response) => {
    response.destroy()
  })
  const reply = await post(once1)
  strictEqual(reply.statusCode, 502)
  strictEqual(reply.headers['verdict'], 'MayHaveRun')
  ok(Number(reply.headers['retry-after']) >= 1)
  strictEqual(once1.runs(), 1)
  await reply.body.dump()
  await once1.close()
  const again = await proxyProof(
    (_request, response, run) => {
      if (run === 1) response.destroy()
      else response.end('whole')
    },
    's-1',
    true,
  )
  strictEqual(await (await post(again)).body.text(), 'whole')
  strictEqual(again.runs(), 2)
  await again.close()
})

test('another server at the address gets no request', async () => {
  const scene = await proxyProof((_request, response) => {
    response.end('wrong')
  }, 's-2')
  const reply = await call(`http://${scene.address}/v1/services/s/x`, { method: 'POST', headers: { 'due-ms': '600' } })
  strictEqual(reply.statusCode, 503)
  strictEqual(reply.headers['verdict'], 'NotRun')
  strictEqual(scene.runs(), 0)
  await reply.body.dump()
  await scene.close()
})

test('a caller that goes away cancels upstream', async () => {
  let gone = false
  const scene = await proxyProof((_request, response) => {
    response.write('first')
    response.on('close', () => {
      gone = true
    })
  })
  const socket = connect(OwnLoopback.portOf(scene.address), OwnLoopback.host)
  socket.write('POST /v1/services/s/x HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n')
  await once(socket, 'data')
  socket.destroy()
  await turns(() => gone)
  await scene.close()
})

test('a kept connection serves again, identified anew where a request may not be repeated', async () => {
  const scene = await proxyProof((_request, response) => {
    response.end('ok')
  })
  const dispatcher = new Agent()
  for (let n = 0; n < 3; n++) strictEqual(await (await post(scene, '', dispatcher)).body.text(), 'ok')
  strictEqual(scene.heads.filter((url) => url === ServerFormat.identityPath).length, 3)
  await dispatcher.destroy()
  await scene.close()
})

test("a server's own 5xx is its whole answer, and the request's id goes there and back", async () => {
  const ids: unknown[] = []
  const scene = await proxyProof((request, response) => {
    ids.push(request.headers['request-id'])
    response.writeHead(503, { 'content-length': 4 }).end('busy')
  })
  const reply = await call(`http://${scene.address}/v1/services/s/x`, { method: 'POST', headers: { 'request-id': 'mine-1' } })
  deepStrictEqual(
    [reply.statusCode, await reply.body.text(), reply.headers['request-id'], scene.runs(), ids],
    [503, 'busy', 'mine-1', 1, ['mine-1']],
  )
  const figures = async () => (await call(`http://${scene.address}/metrics`)).body.text()
  while (!/springpaddle_requests\{[^}]*status="503"/.test(await figures()));
  await scene.close()
})

test('a server that closes its idle line just as a request goes runs it once or never, and the caller is told which', async () => {
  const scene = await proxyProof((request, response, run) => {
    response.writeHead(200, { 'content-length': 2 }).end('ok', () => {
      if (run % 2 === 1) request.socket.destroy()
    })
  })
  const told: string[] = []
  for (let n = 0; n < 20; n++) {
    const reply = await post(scene)
    const text = await reply.body.text()
    told.push(reply.statusCode === 200 ? 'Ran' : z.object({ verdict: z.string() }).parse(JSON.parse(text)).verdict)
  }
  strictEqual(scene.runs() <= 20, true)
  strictEqual(told.filter((one) => one !== 'NotRun').length >= scene.runs(), true)
  await scene.close()
})

test('an answer that comes after the due is told as MayHaveRun at the due, with when to come back', async () => {
  const scene = await proxyProof((request, response) => {
    request.socket.on('close', () => {
      response.destroy()
    })
  })
  const reply = await call(`http://${scene.address}/v1/services/s/x`, { method: 'POST', headers: { 'due-ms': '300' } })
  const told = z.object({ verdict: z.string() }).parse(await reply.body.json())
  deepStrictEqual([reply.statusCode, told.verdict, Number(reply.headers['retry-after']) >= 1, scene.runs()], [504, 'MayHaveRun', true, 1])
  await scene.close()
})

test('chunks cut in the middle, a sender that stops halfway, and a head that is no HTTP end visibly and run once', async () => {
  for (const wrong of [
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\nhalf',
    'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhal',
    'NONSENSE\r\n\r\n',
  ]) {
    const scene = await proxyProof((request) => {
      request.socket.write(wrong, () => {
        request.socket.destroy()
      })
    })
    const outcome = await post(scene).then(
      async (reply) =>
        reply.statusCode === 200
          ? reply.body.text().then(
              () => 'whole',
              () => 'brokenOff',
            )
          : z.object({ verdict: z.string() }).parse(await reply.body.json()).verdict,
      () => 'brokenOff',
    )
    match(outcome, /^(brokenOff|MayHaveRun)$/)
    strictEqual(scene.runs(), 1)
    await scene.close()
  }
})

test('a proxy that stops answers those that are here and sends callers with open connections away', async () => {
  let release: () => void = () => undefined
  const scene = await proxyProof((_request, response) => {
    release = () => {
      response.end('ok')
    }
  })
  const dispatcher = new Agent({ connections: 1 })
  const reply = post(scene, '', dispatcher)
  await turns(() => scene.runs() === 1)
  const stopped = scene.stop()
  release()
  const answered = await reply
  deepStrictEqual([answered.statusCode, await answered.body.text(), answered.headers['connection']], [200, 'ok', 'close'])
  await stopped
  await dispatcher.destroy()
  await scene.close()
})
