/**
 * Owns the proxy's machine, its transport, its callers and its connections to servers. What the machine
 * decides is carried out at once, in the same turn, so that a response's head waits for the machine's
 * word before a byte of it goes on.
 */
import 'reflect-metadata'
import type { ServerResponse } from 'node:http'
import type { Span } from '@opentelemetry/api'
import { inject, singleton } from 'tsyringe'
import type { Dispatcher } from 'undici'
import { Random } from '../common/Random.js'
import { clockMs } from '../common/clockMs.js'
import { Logger } from '../common/Logger.js'
import { Meters } from '../common/Meters.js'
import { Timings } from '../common/Timings.js'
import type { Startup } from '../common/Startup.js'
import { Verdict } from '../common/Verdict.js'
import { CallerFormat } from '../adapters/CallerFormat.js'
import type { Transport } from '../transport/Transport.js'
import { transportHelps } from '../transport/transportHelps.js'
import { ServerConnection } from './ServerConnection.js'
import type { ProxyEffect } from './ProxyEffect.js'
import type { ProxyInput } from './ProxyInput.js'
import { Traces } from './Traces.js'
import { ProxyMachine } from './ProxyMachine.js'

interface Exchange {
  requestId: string
  arrivedMs: number
  way: Span
  tryWay: Span | undefined
  response: ServerResponse
  method: Dispatcher.HttpMethod
  path: string
  headers: Record<string, string>
  body: Buffer
  connection: ServerConnection | undefined
  attempt: number
  controller: Dispatcher.DispatchController | undefined
  relaying: boolean
}
const idleConnections = 8
const hopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer'])

@singleton()
export class ProxyTask {
  readonly machine: ProxyMachine
  readonly timings: Timings
  readonly #logger: Logger
  readonly #transport: Transport
  readonly #exchanges = new Map<string, Exchange>()
  readonly #idle = new Map<string, ServerConnection[]>()
  readonly #ticker: NodeJS.Timeout
  readonly #traces: Traces
  readonly #session = crypto.randomUUID().slice(0, 8)
  readonly #outcome: (values: Record<string, string>) => void
  readonly #tried: (values: Record<string, string>) => void
  readonly #took: (spanMs: number) => void
  #count = 0

  constructor(
    @inject('startup') startup: Startup['proxy'],
    @inject('logger') logger: Logger,
    @inject('transport') transport: Transport,
    @inject(Meters) meters: Meters,
  ) {
    this.#logger = logger
    this.#transport = transport
    this.timings = Timings(startup.bounds)
    this.#traces = new Traces(startup.name, startup.traces)
    this.#outcome = meters.counter('requests', 'final answers, by outcome, status and verdict', ['outcome', 'status', 'verdict'])
    this.#tried = meters.counter('attempts', 'attempts at servers, by server', ['server'])
    this.#took = meters.span('request', 'from the arrival of a request to its final answer')
    meters.gauges(transportHelps, () => transport.figures)
    this.machine = new ProxyMachine(
      { name: startup.name, seat: startup.seat, zone: startup.zone, agent: startup.agent },
      this.timings,
      new Random(crypto.getRandomValues(new Uint32Array(1))[0] ?? 0),
    )
    transport.hear((from, fromAddress, message) => {
      this.#step({ kind: 'message', from, fromAddress, message })
    })
    this.#ticker = setInterval(() => {
      this.#step({ kind: 'tick' })
    }, this.timings.tickMs)
  }

  /** Takes a caller's request on its way; the exchange is kept until the caller has its final answer. */
  allow(
    target: Extract<ProxyInput, { kind: 'arrived' }>['target'],
    method: Dispatcher.HttpMethod,
    path: string,
    headers: Record<string, string>,
    body: Buffer,
    dueInMs: number | undefined,
    response: ServerResponse,
  ): void {
    this.#count += 1
    const id = String(this.#count)
    const requestId = CallerFormat.id(headers[CallerFormat.idHeader]) ?? `${this.#session}-${id}`
    const way = this.#traces.begin('request', { 'request.id': requestId, 'springpaddle.target': `${target.kind} ${target.name}` })
    response.setHeader(CallerFormat.idHeader, requestId)
    this.#exchanges.set(id, {
      requestId,
      arrivedMs: clockMs(),
      way,
      tryWay: undefined,
      response,
      method,
      path,
      headers: { ...headers, [CallerFormat.idHeader]: requestId },
      body,
      connection: undefined,
      attempt: 0,
      controller: undefined,
      relaying: false,
    })
    response.on('close', () => {
      if (!this.#exchanges.has(id)) return
      this.#step({ kind: 'callerGone', id })
      this.#over(id, 'left', {}, 'the caller went away')
    })
    this.#step({ kind: 'arrived', id, target, bytes: body.length, dueInMs })
  }

  get waiting(): number {
    return this.#exchanges.size
  }

  async stop(): Promise<void> {
    clearInterval(this.#ticker)
    for (const connections of this.#idle.values()) for (const connection of connections) connection.close()
    await this.#transport.close()
    await this.#traces.close()
  }

  #step(input: ProxyInput): void {
    for (const effect of this.machine.step(input, clockMs())) this.#carryOut(effect)
  }

  #carryOut(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#transport.send(effect.toAddress, effect.message)
        break
      case 'say':
        this.#logger.say(effect.part, effect.sentence)
        break
      case 'attempt':
        void this.#attempt(effect)
        break
      case 'go':
        this.#go(effect.id, effect.attempt)
        break
      case 'relay': {
        const exchange = this.#exchanges.get(effect.id)
        if (exchange !== undefined) exchange.relaying = true
        break
      }
      case 'release':
        this.#release(effect.id)
        break
      case 'turnAway':
        this.#turnAway(effect)
        break
      case 'breakOff': {
        const exchange = this.#over(effect.id, 'brokenOff', {}, effect.why)
        exchange?.response.destroy()
        this.#logger.warn('proxy', `Broke off the response to ${exchange?.requestId ?? ''}: ${effect.why}.`)
        break
      }
    }
  }

  async #attempt({ id, attempt, server, address, fresh }: Extract<ProxyEffect, { kind: 'attempt' }>): Promise<void> {
    const exchange = this.#exchanges.get(id)
    if (exchange === undefined) return
    exchange.attempt = attempt
    this.#traces.end(exchange.tryWay, {}, 'released')
    exchange.tryWay = this.#traces.begin('attempt', { 'springpaddle.server': server }, exchange.way)
    this.#tried({ server })
    exchange.relaying = false
    const pool = this.#idle.get(address) ?? []
    let connection = pool.pop()
    while (connection?.spent === true) connection = pool.pop()
    const reused = connection !== undefined
    connection ??= new ServerConnection(address, this.timings.reportMs, this.timings.streamIdleMs)
    exchange.connection = connection
    try {
      const identity =
        reused && !fresh && connection.identity !== undefined ? connection.identity : await connection.identify(this.timings.reportMs)
      if (reused && !fresh) await Promise.resolve()
      if (exchange.attempt !== attempt || exchange.connection !== connection) return
      this.#step({ kind: 'identified', id, attempt, ...identity })
    } catch (error) {
      connection.close()
      if (exchange.attempt !== attempt || exchange.connection !== connection) return
      exchange.connection = undefined
      this.#step({ kind: 'defect', id, attempt, verdict: Verdict.notRun, why: error instanceof Error ? error.message : String(error) })
    }
  }

  #go(id: string, attempt: number): void {
    const exchange = this.#exchanges.get(id)
    const connection = exchange?.connection
    if (exchange === undefined || connection === undefined) return
    let begun = false
    let framed = true
    const live = () => exchange.attempt === attempt && exchange.connection === connection && this.#exchanges.get(id) === exchange
    connection.dispatch(
      { path: exchange.path, method: exchange.method, headers: exchange.headers, body: exchange.body.length > 0 ? exchange.body : null },
      {
        onRequestStart: (controller) => {
          begun = true
          exchange.controller = controller
          if (live()) this.#step({ kind: 'sent', id, attempt })
          else controller.abort(new Error('released'))
        },
        onResponseStart: (controller, status, headers) => {
          if (status < 200 || !live()) return
          this.#step({ kind: 'head', id, attempt, notRun: headers[CallerFormat.verdictHeader] === Verdict.notRun })
          if (!exchange.relaying || !live()) return
          framed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || status === 204 || status === 304
          exchange.response.statusCode = status
          for (const [name, value] of Object.entries(headers))
            if (value !== undefined && name !== CallerFormat.idHeader && !hopHeaders.has(name)) exchange.response.setHeader(name, value)
          exchange.response.on('drain', () => {
            controller.resume()
          })
          exchange.response.flushHeaders()
        },
        onResponseData: (controller, chunk) => {
          if (exchange.relaying && live() && !exchange.response.write(chunk)) controller.pause()
        },
        onResponseEnd: () => {
          if (!live() || !exchange.relaying) return
          if (!framed) {
            connection.close()
            this.#step({
              kind: 'defect',
              id,
              attempt,
              verdict: Verdict.mayHaveRun,
              why: 'the response had neither a length nor a last chunk',
            })
            return
          }
          this.#over(id, 'responded', { status: String(exchange.response.statusCode) }, '')
          exchange.response.end()
          this.#giveBack(connection)
          this.#step({ kind: 'ended', id, attempt })
        },
        onResponseError: (_controller, error) => {
          connection.close()
          if (!live()) return
          exchange.connection = undefined
          this.#step({ kind: 'defect', id, attempt, verdict: begun ? Verdict.mayHaveRun : Verdict.notRun, why: error.message })
        },
      },
    )
  }

  #giveBack(connection: ServerConnection): void {
    const pool = this.#idle.get(connection.address) ?? []
    this.#idle.set(connection.address, pool)
    if (connection.spent || pool.length >= idleConnections) connection.close()
    else pool.push(connection)
  }

  /** Ends an attempt: an unused connection goes back to the idle ones, any other is closed. */
  #release(id: string): void {
    const exchange = this.#exchanges.get(id)
    if (exchange?.connection === undefined) return
    const { connection, controller } = exchange
    exchange.connection = undefined
    exchange.controller = undefined
    if (controller === undefined && connection.identity !== undefined) this.#giveBack(connection)
    else connection.close()
  }

  #turnAway({ id, status, verdict, retryAfterS, why }: Extract<ProxyEffect, { kind: 'turnAway' }>): void {
    const exchange = this.#over(id, 'turnedAway', { status: String(status), verdict }, why)
    if (exchange === undefined || exchange.response.destroyed) return
    this.#logger.say('proxy', `Turned ${exchange.requestId} away with ${String(status)} ${verdict}: ${why}.`)
    exchange.connection?.close()
    ProxyTask.answer(exchange.response, status, verdict, retryAfterS, why)
  }

  /** The one place where an exchange ends: counted, measured, traced. */
  #over(id: string, outcome: string, values: Record<string, string>, why: string): Exchange | undefined {
    const exchange = this.#exchanges.get(id)
    if (exchange === undefined) return undefined
    this.#exchanges.delete(id)
    this.#outcome({ outcome, status: '', verdict: '', ...values })
    this.#took(clockMs() - exchange.arrivedMs)
    this.#traces.end(exchange.tryWay, {}, why)
    this.#traces.end(exchange.way, { outcome, ...values }, why)
    return exchange
  }

  /** A final answer that is not a server's: its status, its verdict and when to come back. */
  static answer(response: ServerResponse, status: number, verdict: Verdict, retryAfterS: number | undefined, why: string): void {
    const body = JSON.stringify({ verdict, why })
    const headers = { 'content-type': 'application/json', [CallerFormat.verdictHeader]: verdict, 'content-length': Buffer.byteLength(body) }
    response.writeHead(status, status >= 500 && retryAfterS !== undefined ? { ...headers, 'retry-after': retryAfterS } : headers)
    response.end(body)
  }
}
