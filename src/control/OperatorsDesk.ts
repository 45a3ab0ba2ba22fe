/**
 * The operators' HTTP API of a control. Any of the three may be asked; it passes the question on to
 * the leader. A write that can't be acknowledged in time is answered 504 "undecided" with its
 * operation id, never as turned away.
 */
import 'reflect-metadata'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { App } from '@tinyhttp/app'
import { inject, singleton } from 'tsyringe'
import { listen } from '../common/listen.js'
import { Meters } from '../common/Meters.js'
import { ServerDrain } from '../common/ServerDrain.js'
import { readBody } from '../common/readBody.js'
import type { Startup } from '../common/Startup.js'
import { StartWait } from '../common/StartWait.js'
import { watchRoutes } from '../common/watchRoutes.js'
import type { Operation } from './Operation.js'
import { ControlTask } from './ControlTask.js'

const bodyLimitBytes = 4_000_000

@singleton()
export class OperatorsDesk {
  readonly #startup: Startup['control']
  readonly #task: ControlTask
  readonly #waiting = new Map<string, ServerResponse>()
  readonly #app: App
  #drain: ServerDrain | undefined
  readonly #life = crypto.randomUUID().slice(0, 8)
  #count = 0

  constructor(@inject('startup') startup: Startup['control'], @inject(ControlTask) task: ControlTask, @inject(Meters) meters: Meters) {
    this.#startup = startup
    this.#task = task
    const app = new App({ settings: { xPoweredBy: false } })
    const text = (url: URL, name: string) => url.searchParams.get(name) ?? ''
    app.get('/charter', (request, response) => {
      this.#read(request, response, (url) => ({
        action: 'charter.get',
        text: text(url, 'stamp'),
        branch: text(url, 'as') === 'sent' ? 'sent' : text(url, 'branch'),
      }))
    })
    app.put('/charter', (request, response) => this.#write(request, response, 'charter.put'))
    app.patch('/charter', (request, response) => this.#write(request, response, 'charter.patch'))
    app.post('/charter/rollback', (request, response) => this.#write(request, response, 'charter.rollback'))
    app.get('/charter/history', (request, response) => {
      this.#read(request, response, () => ({ action: 'charter.history' }))
    })
    app.get('/charter/leaves', (request, response) => {
      this.#read(request, response, () => ({ action: 'charter.leaves' }))
    })
    app.get('/operations/:id', (request, response) => {
      this.#read(request, response, () => ({ action: 'outcome', text: request.params['id'] ?? '' }))
    })
    app.get('/nodes', (request, response) => {
      this.#read(request, response, () => ({ action: 'nodes' }))
    })
    app.get('/servers', (request, response) => {
      this.#read(request, response, () => ({ action: 'servers' }))
    })
    app.get('/placement', (request, response) => {
      this.#read(request, response, () => ({ action: 'placement' }))
    })
    app.post('/seats/retire', (request, response) => this.#write(request, response, 'seat.retire'))
    app.get('/network', (request, response) => {
      this.#read(request, response, () => ({ action: 'network.get' }))
    })
    app.put('/network', (request, response) => this.#write(request, response, 'network.put'))
    app.patch('/network', (request, response) => this.#write(request, response, 'network.patch'))
    const zone =
      (action: 'zone.empty' | 'zone.fill') => (request: IncomingMessage & { params: Record<string, string> }, response: ServerResponse) =>
        this.#write(request, response, action, request.params['zone'] ?? '')
    app.post('/zones/:zone/evacuation', zone('zone.empty'))
    app.delete('/zones/:zone/evacuation', zone('zone.fill'))
    watchRoutes(app, meters, () => {
      const { phase, term, commit, leader } = task.machine.raft
      return { well: leader !== '', name: startup.name, phase, term, commit, leader }
    })
    this.#app = app
    task.emitter.on('responded', ({ id, status, stamp, text: body }) => {
      const response = this.#waiting.get(id)
      this.#waiting.delete(id)
      if (response !== undefined) this.#reply(response, status, stamp, body)
    })
  }

  async open(wait: StartWait = StartWait.none): Promise<string> {
    const { server, address } = await listen(this.#app, this.#startup.operators, wait)
    this.#drain = new ServerDrain(server)
    return address
  }

  /** From now on callers are told to go on to other nodes after their answers. */
  beginDrain(): void {
    this.#drain?.begin()
  }

  /** Refuses what still comes, and ends when what was taken is answered, each within the time that its caller told. */
  async close(): Promise<void> {
    await this.#drain?.close(this.#task.timings.operateMs)
  }

  #reply(response: ServerResponse, status: number, stamp: number, body: string): void {
    if (response.headersSent || response.destroyed) return
    response.writeHead(status, {
      'content-type': 'application/json',
      etag: `"${String(stamp)}"`,
      'content-length': Buffer.byteLength(body),
    })
    response.end(body)
  }

  #read(
    request: IncomingMessage,
    response: ServerResponse,
    what: (url: URL) => Partial<Operation> & { action: Operation['action'] },
  ): void {
    const url = new URL(request.url ?? '/', 'http://control')
    const waitMs = this.#waitMs(request)
    this.#ask(request, response, { branch: '', text: '', ifMatch: -1, operation: '', waitMs, leaderMs: waitMs, ...what(url) })
  }

  async #write(request: IncomingMessage, response: ServerResponse, action: Operation['action'], branch?: string): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://control')
    const body = await readBody(request, bodyLimitBytes)
    const match = request.headers['if-match']
    const ifMatch = match === undefined || match === '*' ? -1 : Number(match.replaceAll('"', ''))
    if (body === undefined || !Number.isInteger(ifMatch)) {
      this.#reply(
        response,
        body === undefined ? 413 : 400,
        0,
        JSON.stringify({ errors: [body === undefined ? `the body is over ${String(bodyLimitBytes)} bytes` : 'if-match: must be a stamp'] }),
      )
      return
    }
    const operation = request.headers['operation-id']
    const waitMs = this.#waitMs(request)
    this.#ask(request, response, {
      action,
      branch: branch ?? url.searchParams.get('branch') ?? '',
      text: body.toString(),
      ifMatch,
      operation: typeof operation === 'string' && operation !== '' ? operation : crypto.randomUUID(),
      waitMs,
      leaderMs: waitMs,
    })
  }

  #waitMs(request: IncomingMessage): number {
    const given = Number(request.headers['due-ms'])
    return given > 0 ? Math.min(given, 10 * this.#task.timings.operateMs) : this.#task.timings.operateMs
  }

  #ask(request: IncomingMessage, response: ServerResponse, operation: Operation): void {
    if (this.#drain?.isClosing === true) {
      this.#reply(response, 503, 0, JSON.stringify({ errors: ['this node stops; ask another'] }))
      return
    }
    this.#count += 1
    const id = `${this.#startup.name}-${this.#life}-${String(this.#count)}`
    this.#waiting.set(id, response)
    request.on('close', () => {
      if (!response.writableEnded && response.destroyed && this.#waiting.delete(id)) this.#task.step({ kind: 'cancel', id })
    })
    this.#task.step({ kind: 'operate', id, operation })
  }
}
