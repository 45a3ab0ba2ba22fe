/**
 * Owns the turnout's machine, its telegraph, its callers and its lines to servers. What the machine
 * decides is carried out at once, in the same turn, so that a response's head waits for the machine's
 * word before a byte of it goes on.
 */
import 'reflect-metadata'
import type { ServerResponse } from 'node:http'
import type { Span } from '@opentelemetry/api'
import { inject, singleton } from 'tsyringe'
import type { Dispatcher } from 'undici'
import { Chance } from '../gauge/Chance.js'
import { clockMs } from '../gauge/clockMs.js'
import { Logbook } from '../gauge/Logbook.js'
import { Meters } from '../gauge/Meters.js'
import { Pace } from '../gauge/Pace.js'
import type { Startup } from '../gauge/Startup.js'
import { Verdict } from '../gauge/Verdict.js'
import { CallerFormat } from '../sidings/CallerFormat.js'
import type { Telegraph } from '../telegraph/Telegraph.js'
import { Line } from './Line.js'
import type { TurnoutEffect } from './TurnoutEffect.js'
import type { TurnoutInput } from './TurnoutInput.js'
import { Traces } from './Traces.js'
import { TurnoutMachine } from './TurnoutMachine.js'

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
export class TurnoutTask {
  readonly machine: TurnoutMachine
  readonly pace: Pace
  readonly #logbook: Logbook
  readonly #telegraph: Telegraph
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
    @inject('startup') startup: Startup['turnout'],
    @inject('logbook') logbook: Logbook,
    @inject('telegraph') telegraph: Telegraph,
    @inject(Meters) meters: Meters,
  ) {
    this.#logbook = logbook
    this.#telegraph = telegraph
    this.pace = Pace(startup.bounds)
    this.#traces = new Traces(startup.name, startup.traces)
    this.#outcome = meters.counter('requests', 'final answers, by outcome, status and verdict', ['outcome', 'status', 'verdict'])
    this.#tried = meters.counter('attempts', 'attempts at servers, by server', ['server'])
    this.#took = meters.span('request', 'from the arrival of a request to its final answer')
    this.machine = new TurnoutMachine(
      { name: startup.name, seat: startup.seat, zone: startup.zone, lineman: startup.lineman },
      this.pace,
      new Chance(crypto.getRandomValues(new Uint32Array(1))[0] ?? 0),
    )
    telegraph.hear((from, fromAddress, message) => {
      this.#step({ kind: 'message', from, fromAddress, message })
    })
    this.#ticker = setInterval(() => {
      this.#step({ kind: 'tick' })
    }, this.pace.tickMs)
  }

  /** Takes a caller's request on its way; the ticket is kept until the caller has its final answer. */
  allow(
    target: Extract<TurnoutInput, { kind: 'arrived' }>['target'],
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
    await this.#telegraph.close()
    await this.#traces.close()
  }

  #step(input: TurnoutInput): void {
    for (const effect of this.machine.step(input, clockMs())) this.#carryOut(effect)
  }

  #carryOut(effect: TurnoutEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#telegraph.send(effect.toAddress, effect.message)
        break
      case 'say':
        this.#logbook.say(effect.part, effect.sentence)
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
        this.#logbook.warn('turnout', `Broke off the response to ${ticket?.requestId ?? ''}: ${effect.why}.`)
        break
      }
    }
  }

  async #attempt({ id, attempt, server, address, fresh }: Extract<TurnoutEffect, { kind: 'attempt' }>): Promise<void> {
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
    line ??= new Line(address, this.pace.reportMs, this.pace.streamIdleMs)
    ticket.line = line
    try {
      const identity = reused && !fresh && line.identity !== undefined ? line.identity : await line.identify(this.pace.reportMs)
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

  #turnAway({ id, status, verdict, retryAfterS, why }: Extract<TurnoutEffect, { kind: 'turnAway' }>): void {
    const ticket = this.#over(id, 'turnedAway', { status: String(status), verdict }, why)
    if (ticket === undefined || ticket.response.destroyed) return
    this.#logbook.say('turnout', `Turned ${ticket.requestId} away with ${String(status)} ${verdict}: ${why}.`)
    ticket.line?.close()
    TurnoutTask.answer(ticket.response, status, verdict, retryAfterS, why)
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
