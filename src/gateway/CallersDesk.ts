/**
 * The callers' side of a gateway, and where it says whether it is ready for them. Requests are read whole,
 * within the limits of the network in force, and handed to the task. On a stop it first says that it is not
 * ready, goes on taking who still comes while it sends each on after its answer, then closes and waits for the last.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { readBody } from '../common/readBody.js'
import { Network } from '../common/Network.js'
import { clockMs } from '../common/clockMs.js'
import type { GatewayStartup } from './GatewayStartup.js'
import type { GatewayTask } from './GatewayTask.js'

const headerBytes = 65_536
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
  #watch: Server | undefined
  readonly #open = new Set<ServerResponse>()
  #draining = false
  #limits = fallback
  #networkStamp = -1

  constructor(startup: GatewayStartup, task: GatewayTask, readyPath: string) {
    this.#startup = startup
    this.#task = task
    this.#readyPath = readyPath
    this.#callers = createServer({ maxHeaderSize: headerBytes, noDelay: true }, (request, response) => {
      void this.#serve(request, response)
    })
    this.#callers.requestTimeout = 0
  }

  async open(): Promise<string> {
    const { port, host } = place(this.#startup.callers)
    this.#callers.listen({ port, host, backlog: 1024 })
    await once(this.#callers, 'listening')
    if (this.#startup.readiness !== undefined) {
      this.#watch = createServer((request, response) => {
        const known = request.url === this.#readyPath
        response.writeHead(!known ? 404 : this.ready ? 200 : 503, { 'content-length': 0 }).end()
      })
      this.#watch.listen(place(this.#startup.readiness))
      await once(this.#watch, 'listening')
    }
    const bound = this.#callers.address()
    return `${host}:${String(typeof bound === 'object' && bound !== null ? bound.port : port)}`
  }

  get ready(): boolean {
    return this.#task.ready && !this.#draining
  }

  async drain(): Promise<void> {
    const { graceMs, leaveMs } = this.#startup
    const endMs = clockMs() + 0.92 * graceMs
    this.#draining = true
    for (const response of this.#open) this.#lastOf(response)
    await pause(leaveMs)
    const closed = new Promise<void>((resolve) => {
      this.#callers.close(() => {
        resolve()
      })
    })
    this.#callers.closeIdleConnections()
    const sweep = setInterval(() => {
      this.#callers.closeIdleConnections()
    }, leaveMs / 20)
    await Promise.race([closed, pause(Math.max(0, endMs - clockMs()))])
    clearInterval(sweep)
    this.#watch?.close()
    this.#watch?.closeAllConnections()
  }

  #lastOf(response: ServerResponse): void {
    if (!response.headersSent) response.setHeader('connection', 'close')
  }

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
    this.#follow()
    this.#open.add(response)
    response.on('close', () => this.#open.delete(response))
    if (this.#draining) this.#lastOf(response)
    const arrivedMs = clockMs()
    const body = await readBody(request, this.#limits.bodyBytes)
    if (body === undefined) {
      if (!request.destroyed) this.#task.answer(response, '', 413, undefined, `the body is over ${String(this.#limits.bodyBytes)} bytes`)
      return
    }
    this.#task.allow(request, response, body, clockMs() - arrivedMs)
  }
}
