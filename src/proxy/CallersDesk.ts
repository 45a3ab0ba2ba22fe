/**
 * The callers' side of a proxy. A proper request is read whole and handed to the task; an improper
 * one gets its 4xx at once. When held bodies fill their memory, further ones are read only as room
 * comes free.
 */
import 'reflect-metadata'
import type { Server, ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { App, type Request } from '@tinyhttp/app'
import { inject, singleton } from 'tsyringe'
import type { Dispatcher } from 'undici'
import { listen } from '../common/listen.js'
import { Meters } from '../common/Meters.js'
import { readBody } from '../common/readBody.js'
import type { Startup } from '../common/Startup.js'
import { StartWait } from '../common/StartWait.js'
import { Verdict } from '../common/Verdict.js'
import { watchRoutes } from '../common/watchRoutes.js'
import { CallerFormat } from '../adapters/CallerFormat.js'
import { ServerFormat } from '../adapters/ServerFormat.js'
import { ProxyTask } from './ProxyTask.js'

const methods: readonly Dispatcher.HttpMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
const ownHeaders = new Set([
  'host',
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'te',
  'trailer',
  'expect',
])

/** The last answer on its connection: a caller that keeps connections open finds another proxy. */
function lastOf(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close')
}

@singleton()
export class CallersDesk {
  readonly #startup: Startup['proxy']
  readonly #task: ProxyTask
  readonly #app: App
  readonly #queue: (() => void)[] = []
  #server: Server | undefined
  #heldBytes = 0
  #draining = false
  readonly #open = new Set<ServerResponse>()

  constructor(@inject('startup') startup: Startup['proxy'], @inject(ProxyTask) task: ProxyTask, @inject(Meters) meters: Meters) {
    this.#startup = startup
    this.#task = task
    const app = new App({
      settings: { xPoweredBy: false },
      noMatchHandler: (_request, response) => {
        ProxyTask.answer(response, 404, Verdict.notRun, undefined, 'path: neither /v1/models/NAME nor /v1/services/NAME/...')
      },
    })
    meters.gauges({ waiting: 'requests on their way', held_bytes: 'bytes of bodies held', stamp: 'the stamp of the copy' }, () => ({
      waiting: task.waiting,
      held_bytes: this.#heldBytes,
      stamp: task.machine.copy.stamp,
    }))
    watchRoutes(app, meters, () => {
      const current = task.machine.current(performance.now())
      return { well: current && !this.#draining, name: startup.name, current, stamp: task.machine.copy.stamp, waiting: task.waiting }
    })
    app.all('/v1/*', (request, response) => this.#serve(request, response))
    this.#app = app
  }

  async open(wait: StartWait = StartWait.none): Promise<string> {
    const { server, address } = await listen(this.#app, this.#startup.callers, wait)
    server.requestTimeout = 0
    this.#server = server
    return address
  }

  /**
   * Tells by its health that it stops, and for a moment still takes who comes, so that nobody who looks at it is refused;
   * then takes no further callers, sends those that are here elsewhere after their answers, and waits for the last.
   */
  async drain(): Promise<void> {
    const server = this.#server
    if (server === undefined) return
    this.#draining = true
    for (const response of this.#open) lastOf(response)
    await pause(this.#task.timings.probeMs)
    const closed = new Promise<void>((resolve) => {
      server.close(() => {
        resolve()
      })
    })
    server.closeIdleConnections()
    await closed
  }

  async #serve(request: Request, response: ServerResponse): Promise<void> {
    this.#open.add(response)
    response.on('close', () => this.#open.delete(response))
    if (this.#draining) lastOf(response)
    const turnAway = (status: number, why: string) => {
      ProxyTask.answer(response, status, Verdict.notRun, undefined, why)
    }
    const path = CallerFormat.path(request.originalUrl)
    const method = methods.find((one) => one === request.method)
    const due = CallerFormat.due(request.headers[CallerFormat.dueHeader])
    if (path === undefined) {
      turnAway(404, 'path: neither /v1/models/NAME nor /v1/services/NAME/...')
      return
    }
    if (method === undefined || (path.kind === 'model' && method !== 'POST')) {
      turnAway(405, 'method: not allowed here')
      return
    }
    const known = due.caseOf<string | { ms: number | undefined }>({ Left: (why) => why, Right: (ms) => ({ ms }) })
    if (typeof known === 'string') {
      turnAway(400, known)
      return
    }
    const arrivedMs = performance.now()
    await this.#room()
    const limitBytes = this.#startup.holdBytes / 2
    const body = await readBody(request, limitBytes)
    if (body === undefined) {
      if (!request.destroyed) turnAway(413, `the body is over ${String(limitBytes)} bytes`)
      return
    }
    this.#hold(body.length, response)
    const left = known.ms === undefined ? undefined : known.ms - (performance.now() - arrivedMs)
    const headers: Record<string, string> = {}
    for (const [name, value] of Object.entries(request.headers))
      if (value !== undefined && !ownHeaders.has(name)) headers[name] = Array.isArray(value) ? value.join(', ') : value
    if (path.kind === 'service') {
      this.#task.allow(
        { kind: 'service', name: path.name },
        method,
        path.rest.startsWith('/') ? path.rest : `/${path.rest}`,
        headers,
        body,
        left,
        response,
      )
      return
    }
    CallerFormat.model(path.name, body).caseOf({
      Left: (why) => {
        turnAway(400, why)
      },
      Right: (target) => {
        if (target.kind === 'model') this.#task.allow(target, method, ServerFormat.modelPath(path.name), headers, body, left, response)
      },
    })
  }

  async #room(): Promise<void> {
    while (this.#heldBytes > this.#startup.holdBytes) await new Promise<void>((resolve) => this.#queue.push(resolve))
  }

  #hold(bytes: number, response: ServerResponse): void {
    this.#heldBytes += bytes
    response.on('close', () => {
      this.#heldBytes -= bytes
      this.#queue.shift()?.()
    })
  }
}
