/**
 * A server for tests that answers well or ill, as a draw from the seed, its name and the request decides.
 */
import type { Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../../common/clockMs.js'
import { Random } from '../../common/Random.js'
import { digest } from '../../common/digest.js'
import { RawServer } from './RawServer.js'
import type { RunLog } from './RunLog.js'

interface Request {
  id: string
  name: string
  seal: string
  resumeAfter: number
  socket: Socket
  random: Random
  /** Sends in the order of the calls, not before its time. */
  send: (text: string, afterMs?: number) => void
  /** Acts in its turn among what is sent. */
  then: (afterMs: number, action: () => void) => void
  head: (more: string, status?: string, id?: string, seal?: string) => string
}
interface Made {
  ran: boolean
  status: number
  answer: string | undefined
}
type Behaviour = (request: Request) => Made

const pieces = 6
const silent: Made = { ran: true, status: 0, answer: undefined }
const wellRatio = 0.4
const lengthOf = (body: string) => `content-length: ${String(body.length)}\r\n`
const bodyOf = ({ id, seal, random }: Request) => `${id} ${seal} ${'x'.repeat(random.below(3000))}`
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`

function whole(request: Request, more = '', afterMs = 0): Made {
  const answer = bodyOf(request)
  request.send(request.head(lengthOf(answer) + more) + answer, afterMs)
  return { ran: true, status: 200, answer }
}

function failed(request: Request, status: string, more: string, ran: boolean): Made {
  const answer = `failed ${request.id}`
  request.send(request.head(lengthOf(answer) + more, status) + answer)
  return { ran, status: Number(status.slice(0, 3)), answer: ran ? answer : undefined }
}

const answers: Behaviour[] = [
  (request) => whole(request, '', request.random.below(40)),
  (request) => whole(request, '', 200 + request.random.below(600)),
  (request) => whole(request, 'connection: close\r\n'),
  (request) => whole(request, 'keep-alive: timeout=1\r\n'),
  (request) => {
    const made = whole(request)
    request.then(1 + request.random.below(30), () => request.socket.destroy())
    return made
  },
  (request) => {
    const answer = bodyOf(request)
    const half = answer.length >> 1
    request.send(request.head('transfer-encoding: chunked\r\n') + chunk(answer.slice(0, half)))
    request.send(chunk(answer.slice(half)) + '0\r\n\r\n', request.random.below(40))
    return { ran: true, status: 200, answer }
  },
  (request) => {
    const answer = bodyOf(request)
    const text = request.head(lengthOf(answer)) + answer
    request.send(text + text)
    return { ran: true, status: 200, answer }
  },
  (request) => {
    const made = whole(request)
    const other = 'of another request'
    request.send(request.head(lengthOf(other), '200 OK', 'r-other', 'sx') + other, request.random.below(20))
    return made
  },
  (request) => {
    const answer = bodyOf(request)
    request.send(request.head(lengthOf(answer)) + answer + 'and more than was said')
    return { ran: true, status: 200, answer }
  },
  (request) => {
    const made = whole(request)
    request.send('\x00\xff garbage \r\n\r\n', request.random.below(10))
    return made
  },
  (request) => {
    const body = bodyOf(request)
    request.send(request.head(lengthOf(body)) + body.slice(0, -3))
    request.then(5, () => request.socket.destroy())
    return silent
  },
  (request) => {
    const body = bodyOf(request)
    request.send(request.head(lengthOf(body)) + body.slice(0, -3))
    return silent
  },
  (request) => {
    request.send('HTTP/1.1 \x01\x02 spoiled\r\n\r\n')
    return silent
  },
  (request) => {
    const body = bodyOf(request)
    request.send(request.head(lengthOf(body), '200 OK', 'r-other') + body)
    return silent
  },
  (request) => {
    const body = bodyOf(request)
    request.send(request.head(lengthOf(body)).replace(/request-id: [^\r]*\r\n/, '') + body)
    return silent
  },
  (request) => {
    const body = bodyOf(request)
    request.send(request.head(lengthOf(body)).replace(/seal: [^\r]*\r\n/, '') + body)
    return silent
  },
  (request) => failed(request, '500 Internal Server Error', '', true),
  (request) => failed(request, '504 Gateway Timeout', '', true),
  (request) => failed(request, '503 Service Unavailable', '', true),
  (request) => failed(request, '503 Service Unavailable', 'verdict: NotRun\r\n', false),
  (request) => failed(request, '429 Too Many Requests', 'verdict: NotRun\r\nconnection: close\r\n', false),
  (request) => {
    request.socket.resetAndDestroy()
    return silent
  },
  (request) => {
    request.send(request.head('content-length: 9\r\n') + 'half')
    request.then(3, () => request.socket.resetAndDestroy())
    return silent
  },
  (request) => {
    request.socket.end()
    return silent
  },
  () => silent,
]

function event({ id, seal }: Request, at: number): string {
  return chunk(`id: ${String(at)}\ndata: ${id} ${String(at)}/${String(pieces)} ${seal}\n\n`)
}

/** Sends the events in turn from the one after which it was asked to go on, and then what ends the stream. */
function stream(request: Request, last: number, end: (afterMs: number) => void, order = (at: number) => at): Made {
  const { random, resumeAfter } = request
  request.send(request.head('content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n'))
  let afterMs = 0
  for (let at = resumeAfter + 1; at <= last; at++) {
    request.send(event(request, order(at)), afterMs)
    afterMs += random.below(15)
  }
  end(afterMs)
  return { ran: true, status: 200, answer: undefined }
}

const streams: Behaviour[] = [
  (request) => stream(request, pieces, (afterMs) => request.send('0\r\n\r\n', afterMs)),
  (request) => stream(request, request.random.below(pieces), (afterMs) => request.then(afterMs, () => request.socket.resetAndDestroy())),
  (request) => stream(request, request.random.below(pieces), (afterMs) => request.then(afterMs + 2, () => request.socket.destroy())),
  (request) =>
    stream(request, request.random.below(pieces), (afterMs) => {
      request.send('20\r\nid: 6\ndata: half an ev', afterMs)
      request.then(afterMs + 4, () => request.socket.destroy())
    }),
  (request) => stream(request, request.random.below(pieces), () => undefined),
  (request) =>
    stream(
      request,
      pieces,
      (afterMs) => request.send('0\r\n\r\n', afterMs),
      (at) => (at === 4 ? 3 : at),
    ),
  (request) => stream({ ...request, resumeAfter: 0 }, pieces, (afterMs) => request.send('0\r\n\r\n', afterMs)),
  (request) => stream(request, pieces, (afterMs) => request.send(`${event(request, 1)}0\r\n\r\n`, afterMs)),
]

/** Actions one after the other: timers of different lengths alone may change places on a busy machine. */
function inTurn(): { then: Request['then'] } {
  const startedMs = clockMs()
  let last = Promise.resolve()
  let waiting = 0
  return {
    then: (afterMs, action) => {
      if (afterMs === 0 && waiting === 0) {
        action()
        return
      }
      waiting += 1
      last = last.then(async () => {
        await pause(Math.max(0, startedMs + afterMs - clockMs()))
        waiting -= 1
        action()
      })
    },
  }
}

export class FaultyServer extends RawServer {
  constructor(name: string, seed: number, log: RunLog) {
    const seen = new Map<string, number>()
    const writers = new WeakMap<Socket, number>()
    super((heard, socket) => {
      const id = heard.headers['request-id'] ?? ''
      const turn = (seen.get(id) ?? 0) + 1
      seen.set(id, turn)
      const random = new Random(digest(`${String(seed)}/${name}/${id}/${String(turn)}`))
      const seal = `${name}.${String(log.runs.length)}`
      const order = log.runs.length
      const line = inTurn()
      const request: Request = {
        id,
        name,
        seal,
        resumeAfter: Number(heard.headers['resume-after'] ?? 0),
        socket,
        random,
        then: line.then,
        send: (text, afterMs = 0) => {
          line.then(afterMs, () => {
            // Surplus bytes amid a later answer would be part of that answer to any reader.
            if (socket.destroyed || (writers.get(socket) ?? 0) > order) return
            writers.set(socket, order)
            socket.write(text, 'latin1')
          })
        },
        head: (more, status = '200 OK', ownId = id, ownSeal = seal) =>
          `HTTP/1.1 ${status}\r\nrequest-id: ${ownId}\r\nseal: ${ownSeal}\r\n${more}\r\n`,
      }
      const run = { id, server: name, line: heard.line, body: heard.body, seal, ...silent }
      log.runs.push(run)
      const drawn = heard.line.includes('/stream/') || heard.line.includes('/single/') ? [...streams, ...answers.slice(16)] : answers
      const behaviour = random.hit(wellRatio) ? drawn[0] : drawn[random.below(drawn.length)]
      Object.assign(run, behaviour?.(request))
    })
  }
}
