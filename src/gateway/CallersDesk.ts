/**
 * The callers' side of a gateway, and where it says whether it is ready for them. Requests are read whole,
 * within the limits of the network in force, and handed to the task. On a stop it first says that it is not
 * ready, goes on taking who still comes while it sends each on after its answer, then closes and waits for the last.
 * The machine refuses what the stop leaves no time for.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { Duplex } from 'node:stream'
import { setTimeout as pause } from 'node:timers/promises'
import { listenOn } from '../common/listenOn.js'
import { AdmissionLimits } from '../common/admission/AdmissionLimits.js'
import type { BodyOutcome } from '../common/admission/BodyOutcome.js'
import { HttpDoor } from '../common/admission/HttpDoor.js'
import { StartWait } from '../common/StartWait.js'
import { Network } from '../common/Network.js'
import { clockMs } from '../common/clockMs.js'
import { CallerConnections } from '../common/CallerConnections.js'
import type { GatewayStartup } from './GatewayStartup.js'
import type { GatewayTask } from './GatewayTask.js'

const headerBytes = 65_536
/** Parts of the grace time after which requests no longer wait for a server, those without an answer get one, and the process ends. */
const holdRatio = 0.75
const answerRatio = 0.9
const endRatio = 0.92
/** How often connections on which nobody waits are looked for, as a part of the time in which callers may still come in. */
const sweepRatio = 0.05
const statuses: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
])
const fallback = { bodyBytes: 4_194_304, idleMs: 15_000, headerMs: 5000 }

function place(address: string): { port: number; host: string } {
  const cut = address.lastIndexOf(':')
  return { port: Number(address.slice(cut + 1)), host: address.slice(0, cut).replace(/^\[|\]$/g, '') }
}

export class CallersDesk {
  readonly #startup: GatewayStartup
  readonly #task: GatewayTask
  readonly #readyPath: string
  readonly #callers: Server
  readonly #admission: AdmissionLimits
  readonly #door: HttpDoor
  #watch: Server | undefined
  readonly #connections = new CallerConnections()
  #draining = false
  #limits = fallback
  #networkStamp = -1

  constructor(startup: GatewayStartup, task: GatewayTask, readyPath: string) {
    this.#startup = startup
    this.#task = task
    this.#readyPath = readyPath
    this.#admission = new AdmissionLimits(startup.memoryMb, startup.fileDescriptors)
    const { callerConnections: connections, openRequests, waitingRequests } = this.#admission
    this.#callers = createServer({ maxHeaderSize: headerBytes, noDelay: true })
    this.#door = new HttpDoor(this.#callers, { connections, openRequests, waitingRequests }, task.garbage, {
      serve: (request, response) => {
        void this.#serve(request, response)
      },
      refuse: (request, response) => {
        response.shouldKeepAlive = false
        task.refuseForNow(request, response, 'has too many requests under way')
      },
    })
    this.#callers.requestTimeout = 0
    this.#callers.keepAliveTimeout = fallback.idleMs
    task.hearAdopted(() => {
      this.#follow()
    })
    this.#callers.on('connection', (socket) => {
      this.#connections.add(socket)
    })
    this.#callers.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#fault(error, socket)
    })
  }

  /** Says first that it is not ready, so that this is told while it waits for the callers' address. */
  async open(wait: StartWait = StartWait.none): Promise<string> {
    if (this.#startup.readiness !== undefined) {
      this.#watch = this.#readinessServer()
      await listenOn(this.#watch, place(this.#startup.readiness), wait)
    }
    const { port, host } = place(this.#startup.callers)
    await listenOn(this.#callers, { port, host, backlog: 1024 }, wait)
    const bound = this.#callers.address()
    return `${host}:${String(typeof bound === 'object' && bound !== null ? bound.port : port)}`
  }

  get ready(): boolean {
    return this.#task.ready && !this.#draining && this.#callers.listening
  }

  async drain(): Promise<void> {
    const { graceMs, leaveMs } = this.#startup
    const askedMs = clockMs()
    this.#draining = true
    this.#connections.endAfterOpen()
    const answerByMs = askedMs + answerRatio * graceMs
    this.#task.step({
      kind: 'stop',
      times: { leaveByMs: askedMs + leaveMs, holdUntilMs: askedMs + holdRatio * graceMs, endMs: answerByMs },
    })
    await pause(Math.min(leaveMs, answerRatio * graceMs))
    const closed = new Promise<void>((resolve) => {
      // The HTTP server's own way of closing also cuts answers that have ended but are not yet sent.
      NetServer.prototype.close.call(this.#callers, () => {
        resolve()
      })
    })
    this.#connections.closeRested()
    const sweep = setInterval(() => {
      this.#connections.closeRested()
    }, leaveMs * sweepRatio)
    await Promise.race([closed, pause(Math.max(0, answerByMs - clockMs()))])
    this.#task.step({ kind: 'stopEnd' })
    await Promise.race([closed, pause((endRatio - answerRatio) * graceMs)])
    clearInterval(sweep)
    this.#task.tellCut()
    this.#watch?.close()
    this.#watch?.closeAllConnections()
  }

  #readinessServer(): Server {
    const server = createServer()
    const { probeConnections: connections } = this.#admission
    const answer = (request: IncomingMessage, response: ServerResponse) => {
      // A probe has no body; one that has isn't read.
      response.shouldKeepAlive &&= request.headers['transfer-encoding'] === undefined && !Number(request.headers['content-length'] ?? 0)
      const known = request.url === this.#readyPath
      response.writeHead(!known ? 404 : this.ready ? 200 : 503, { 'content-length': 0 }).end()
    }
    new HttpDoor(server, { connections, openRequests: connections, waitingRequests: connections }, this.#task.garbage, {
      serve: answer,
      refuse: answer,
    })
    return server
  }

  /** Answers what is no request, unless an earlier request waits on that connection: to its caller it would be the answer. */
  #fault(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable) {
      socket.destroy()
      return
    }
    this.#connections.dropIncomplete(socket)
    if (this.#connections.isBusy(socket)) {
      this.#connections.endAfter(socket)
      return
    }
    const status = statuses.get(error.code ?? '') ?? '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`, () => {
      socket.destroy()
    })
  }

  /** Takes over the limits in force before the next request comes, as an answer tells those of its request's arrival. */
  #follow(): void {
    const copy = this.#task.machine.copy
    const stamp = copy.stampOf('network')
    if (stamp === this.#networkStamp) return
    this.#networkStamp = stamp
    const row: unknown = JSON.parse(copy.get('network') ?? '{}')
    const limits = Network.Limits.safeParse(typeof row === 'object' && row !== null && 'limits' in row ? row.limits : undefined)
    this.#limits = limits.success ? limits.data : fallback
    this.#callers.keepAliveTimeout = this.#limits.idleMs
    this.#callers.headersTimeout = Math.max(1000, this.#limits.headerMs)
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    // A caller that was told that an answer is the last on its connection has no claim to another.
    if (this.#connections.isEnding(request.socket)) return
    this.#connections.open(request, response)
    if (this.#draining) this.#connections.endAfter(request.socket)
    const arrivedMs = clockMs()
    const memory = this.#task.memory.reserve('requests')
    const release = () => {
      memory.release()
    }
    response.once('close', release)
    this.#connections.onLeave(request, response, release)
    const { bodyBytes: bytes, idleMs } = this.#limits
    const body = await this.#door.readBody(request, response, { bytes, idleMs }, memory)
    if (response.destroyed) return
    if (body.kind !== 'whole') {
      this.#refuseBody(request, response, body.kind)
      return
    }
    const leave = this.#task.allow(request, response, body.bytes, clockMs() - arrivedMs)
    this.#connections.onLeave(request, response, () => {
      release()
      leave()
    })
  }

  #refuseBody(request: IncomingMessage, response: ServerResponse, kind: Exclude<BodyOutcome['kind'], 'whole'>): void {
    switch (kind) {
      case 'tooLong':
        // Before a network is in force here its limits aren't known, and no request is refused for good.
        if (!this.#task.ready) this.#task.refuseForNow(request, response, 'has no network in force yet')
        else this.#task.answer(response, '', 413, undefined, `the body is over ${String(this.#limits.bodyBytes)} bytes`)
        break
      case 'noMemory':
        this.#task.refuseForNow(request, response, 'has no memory for the body now')
        break
      case 'tooCostly':
        this.#task.refuseForNow(request, response, 'has too many bodies in small pieces now')
        break
      case 'tooSlow':
        this.#task.answer(response, '', 408, undefined, 'the body does not go on')
        break
      case 'gone':
        break
    }
  }
}
