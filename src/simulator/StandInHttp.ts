/**
 * A stand-in server over real sockets: identity, reports, orders, and runs whose response is made of
 * numbered lines that tell the server, its incarnation and the run, so that a gap, a repeat or a
 * splice shows. Each run is recorded with the marks that the run's own callers put on their requests, so that a request that
 * none of them sent is told apart. It can be crashed, made dark, and started again as a new incarnation.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../common/clockMs.js'
import { digest } from '../common/digest.js'
import { Order } from '../common/Order.js'
import { readBody } from '../common/readBody.js'
import { OwnLoopback } from '../common/testing/OwnLoopback.js'
import { Verdict } from '../common/Verdict.js'
import { CallerFormat } from '../adapters/CallerFormat.js'
import { ModelServerFormat } from '../adapters/ModelServerFormat.js'
import { ServerFormat } from '../adapters/ServerFormat.js'
import { requestMark } from './requestMark.js'
import type { Observation } from './Observation.js'
import { StandInServer } from './StandInServer.js'

export class StandInHttp {
  readonly name: string
  state: StandInServer
  address = ''
  readonly #plan: StandInServer['plan']
  readonly #see: (observation: Observation) => void
  readonly #runMs: number
  #server: Server | undefined
  #count = 0
  #lives = 0

  constructor(plan: StandInServer['plan'], runMs: number, see: (observation: Observation) => void) {
    this.name = plan.name
    this.#plan = plan
    this.#runMs = runMs
    this.#see = see
    this.state = this.#fresh()
  }

  #fresh(): StandInServer {
    this.#lives += 1
    return new StandInServer(this.#plan, `${this.name}.${String(this.#lives)}`, clockMs(), this.#see)
  }

  async open(port = 0): Promise<void> {
    this.state = this.#fresh()
    const server = createServer((request, response) => {
      void this.#serve(request, response)
    })
    this.address = await OwnLoopback.listen(server, port)
    this.#server = server
    this.#see({ kind: 'serverUp', atMs: clockMs(), server: this.name, zone: this.#plan.zone })
  }

  /** Waits until nothing runs here any more. */
  async idle(): Promise<void> {
    while (this.state.flights > 0) await pause(20)
  }

  async crash(): Promise<void> {
    const server = this.#server
    this.#server = undefined
    if (server === undefined) return
    server.close()
    server.closeAllConnections()
    await once(server, 'close')
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { state } = this
    const url = request.url ?? '/'
    if (url === ServerFormat.identityPath) {
      this.#json(response, 200, { server: this.name, incarnation: state.incarnation, upMs: state.upMs(clockMs()) })
      return
    }
    if (url.startsWith('/springpaddle/holds')) {
      this.#json(response, 200, state.report(Number(new URL(url, 'http://x').searchParams.get('epoch')), clockMs()))
      return
    }
    const body = await readBody(request, 100_000_000)
    if (body === undefined) return
    if (url === ModelServerFormat.ordersPath) {
      const order = Order.safeParse(JSON.parse(body.toString()))
      this.#json(response, order.success ? state.take(order.data, clockMs()) : 400, {})
      return
    }
    await this.#run(state, request, url, body, response)
  }

  async #run(state: StandInServer, request: IncomingMessage, url: string, body: Buffer, response: ServerResponse): Promise<void> {
    const model = url.startsWith('/run/') ? url.slice(5) : ''
    const target = model === '' ? undefined : CallerFormat.model(model, body).toMaybe().extractNullable()
    const adapter = target?.kind === 'model' ? target.adapter : ''
    if (!state.allows(model, adapter, clockMs())) {
      response.setHeader(CallerFormat.verdictHeader, Verdict.notRun)
      this.#json(response, 503, { why: 'not loaded here' })
      return
    }
    this.#count += 1
    const run = `${state.incarnation}#${String(this.#count)}`
    const lines = Number(request.headers['lines'] ?? 1)
    const text = Array.from({ length: lines }, (_, at) => `${run} line ${String(at + 1)} of ${String(lines)}\n`)
    const name = request.headers['request-id']
    const service = request.headers['service-name']
    this.#see({
      kind: 'ran',
      atMs: clockMs(),
      request: typeof name === 'string' ? name : `unnamed-${run}`,
      marks: requestMark.read(request.headers, body),
      server: this.name,
      service: model !== '' ? model : typeof service === 'string' ? service : '',
      sum: digest(text.join('')),
      incarnation: state.incarnation,
      wokeMs: 0,
    })
    if (target?.kind === 'model') state.keep(model, target.chain)
    state.begin(model, adapter, clockMs())
    let here = true
    const gone = once(response, 'close').then(() => {
      here = false
    })
    for (const line of text) {
      await pause(this.#runMs / lines)
      if (!here) break
      if (!response.write(line)) await Promise.race([once(response, 'drain'), gone])
    }
    state.end(model, adapter)
    response.end()
  }

  #json(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    response.end(body)
  }
}
