/**
 * Owns the proxy's machine, its transport, its callers and its lines to servers. What the machine
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
import { Line } from './Line.js'
import type { ProxyEffect } from './ProxyEffect.js'
import type { ProxyInput } from './ProxyInput.js'
import { Traces } from './Traces.js'
import { ProxyMachine } from './ProxyMachine.js'

interface Ticket {
  requestId: string
  arrivedMs: number
  way: Span
  tryWay: Span | undefined
  response: ServerResponse
  method: Dispatcher.HttpMethod
  path: string
  headers: Record<string, string>
  body: Buffer
  line: Line | undefined
  attempt: number
  controller: Dispatcher.DispatchController | undefined
  relaying: boolean
}
const idleLines = 8
const hopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer'])

@singleton()
export class ProxyTask {
  readonly machine: ProxyMachine
  readonly timings: Timings
  readonly #logger: Logger
  readonly #transport: Transport
  readonly #tickets = new Map<string, Ticket>()
  readonly #idle = new Map<string, Line[]>()
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

  /** Takes a caller's request on its way; the ticket is kept until the caller has its final answer. */
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
    this.#tickets.set(id, {
      requestId,
      arrivedMs: clockMs(),
      way,
      tryWay: undefined,
      response,
      method,
      path,
      headers: { ...headers, [CallerFormat.idHeader]: requestId },
      body,
      line: undefined,
      attempt: 0,
      controller: undefined,
      relaying: false,
    })
    response.on('close', () => {
      if (!this.#tickets.has(id)) return
      this.#step({ kind: 'callerGone', id })
      this.#over(id, 'left', {}, 'the caller went away')
    })
    this.#step({ kind: 'arrived', id, target, bytes: body.length, dueInMs })
  }

  get waiting(): number {
    return this.#tickets.size
  }

  async stop(): Promise<void> {
    clearInterval(this.#ticker)
    for (const lines of this.#idle.values()) for (const line of lines) line.close()
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
        const ticket = this.#tickets.get(effect.id)
        if (ticket !== undefined) ticket.relaying = true
        break
      }
      case 'release':
        this.#release(effect.id)
        break
      case 'turnAway':
        this.#turnAway(effect)
        break
      case 'breakOff': {
        const ticket = this.#over(effect.id, 'brokenOff', {}, effect.why)
        ticket?.response.destroy()
        this.#logger.warn('proxy', `Broke off the response to ${ticket?.requestId ?? ''}: ${effect.why}.`)
        break
      }
    }
  }

  async #attempt({ id, attempt, server, address, fresh }: Extract<ProxyEffect, { kind: 'attempt' }>): Promise<void> {
    const ticket = this.#tickets.get(id)
    if (ticket === undefined) return
    ticket.attempt = attempt
    this.#traces.end(ticket.tryWay, {}, 'released')
    ticket.tryWay = this.#traces.begin('attempt', { 'springpaddle.server': server }, ticket.way)
    this.#tried({ server })
    ticket.relaying = false
    const pool = this.#idle.get(address) ?? []
    let line = pool.pop()
    while (line?.spent === true) line = pool.pop()
    const reused = line !== undefined
    line ??= new Line(address, this.timings.reportMs, this.timings.streamIdleMs)
    ticket.line = line
    try {
      const identity = reused && !fresh && line.identity !== undefined ? line.identity : await line.identify(this.timings.reportMs)
      if (reused && !fresh) await Promise.resolve()
      if (ticket.attempt !== attempt || ticket.line !== line) return
      this.#step({ kind: 'identified', id, attempt, ...identity })
    } catch (error) {
      line.close()
      if (ticket.attempt !== attempt || ticket.line !== line) return
      ticket.line = undefined
      this.#step({ kind: 'defect', id, attempt, verdict: Verdict.notRun, why: error instanceof Error ? error.message : String(error) })
    }
  }

  #go(id: string, attempt: number): void {
    const ticket = this.#tickets.get(id)
    const line = ticket?.line
    if (ticket === undefined || line === undefined) return
    let begun = false
    let framed = true
    const live = () => ticket.attempt === attempt && ticket.line === line && this.#tickets.get(id) === ticket
    line.dispatch(
      { path: ticket.path, method: ticket.method, headers: ticket.headers, body: ticket.body.length > 0 ? ticket.body : null },
      {
        onRequestStart: (controller) => {
          begun = true
          ticket.controller = controller
          if (live()) this.#step({ kind: 'sent', id, attempt })
          else controller.abort(new Error('released'))
        },
        onResponseStart: (controller, status, headers) => {
          if (status < 200 || !live()) return
          this.#step({ kind: 'head', id, attempt, notRun: headers[CallerFormat.verdictHeader] === Verdict.notRun })
          if (!ticket.relaying || !live()) return
          framed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || status === 204 || status === 304
          ticket.response.statusCode = status
          for (const [name, value] of Object.entries(headers))
            if (value !== undefined && name !== CallerFormat.idHeader && !hopHeaders.has(name)) ticket.response.setHeader(name, value)
          ticket.response.on('drain', () => {
            controller.resume()
          })
          ticket.response.flushHeaders()
        },
        onResponseData: (controller, chunk) => {
          if (ticket.relaying && live() && !ticket.response.write(chunk)) controller.pause()
        },
        onResponseEnd: () => {
          if (!live() || !ticket.relaying) return
          if (!framed) {
            line.close()
            this.#step({
              kind: 'defect',
              id,
              attempt,
              verdict: Verdict.mayHaveRun,
              why: 'the response had neither a length nor a last chunk',
            })
            return
          }
          this.#over(id, 'responded', { status: String(ticket.response.statusCode) }, '')
          ticket.response.end()
          this.#giveBack(line)
          this.#step({ kind: 'ended', id, attempt })
        },
        onResponseError: (_controller, error) => {
          line.close()
          if (!live()) return
          ticket.line = undefined
          this.#step({ kind: 'defect', id, attempt, verdict: begun ? Verdict.mayHaveRun : Verdict.notRun, why: error.message })
        },
      },
    )
  }

  #giveBack(line: Line): void {
    const pool = this.#idle.get(line.address) ?? []
    this.#idle.set(line.address, pool)
    if (line.spent || pool.length >= idleLines) line.close()
    else pool.push(line)
  }

  /** Ends an attempt: a line that carries nothing yet goes back to the idle ones, any other is cut. */
  #release(id: string): void {
    const ticket = this.#tickets.get(id)
    if (ticket?.line === undefined) return
    const { line, controller } = ticket
    ticket.line = undefined
    ticket.controller = undefined
    if (controller === undefined && line.identity !== undefined) this.#giveBack(line)
    else line.close()
  }

  #turnAway({ id, status, verdict, retryAfterS, why }: Extract<ProxyEffect, { kind: 'turnAway' }>): void {
    const ticket = this.#over(id, 'turnedAway', { status: String(status), verdict }, why)
    if (ticket === undefined || ticket.response.destroyed) return
    this.#logger.say('proxy', `Turned ${ticket.requestId} away with ${String(status)} ${verdict}: ${why}.`)
    ticket.line?.close()
    ProxyTask.answer(ticket.response, status, verdict, retryAfterS, why)
  }

  /** The one place where a ticket ends: counted, measured, traced. */
  #over(id: string, outcome: string, values: Record<string, string>, why: string): Ticket | undefined {
    const ticket = this.#tickets.get(id)
    if (ticket === undefined) return undefined
    this.#tickets.delete(id)
    this.#outcome({ outcome, status: '', verdict: '', ...values })
    this.#took(clockMs() - ticket.arrivedMs)
    this.#traces.end(ticket.tryWay, {}, why)
    this.#traces.end(ticket.way, { outcome, ...values }, why)
    return ticket
  }

  /** A final answer that is not a server's: its status, its verdict and when to come back. */
  static answer(response: ServerResponse, status: number, verdict: Verdict, retryAfterS: number | undefined, why: string): void {
    const body = JSON.stringify({ verdict, why })
    const headers = { 'content-type': 'application/json', [CallerFormat.verdictHeader]: verdict, 'content-length': Buffer.byteLength(body) }
    response.writeHead(status, status >= 500 && retryAfterS !== undefined ? { ...headers, 'retry-after': retryAfterS } : headers)
    response.end(body)
  }
}
