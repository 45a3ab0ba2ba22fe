/**
 * Owns a gateway's machine, the agent's machine beside it, the transport, the callers and the pools of
 * connections to servers. What the machines decide is carried out at once, in the same turn, so that an
 * answer's head waits for the machine's word before a byte of it goes on.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import { Random } from '../common/Random.js'
import { clockMs } from '../common/clockMs.js'
import type { Logger } from '../common/Logger.js'
import { GarbagePacer } from '../common/admission/GarbagePacer.js'
import { freeMemoryBytes } from '../common/freeMemoryBytes.js'
import { MemoryBudget } from '../common/MemoryBudget.js'
import { MemoryWatch } from '../common/MemoryWatch.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { Timings } from '../common/Timings.js'
import { AgentMachine } from '../agent/AgentMachine.js'
import type { AgentInput } from '../agent/AgentInput.js'
import type { PlatformClient } from '../adapters/PlatformClient.js'
import type { RouteCodec } from '../adapters/RouteCodec.js'
import type { Row } from '../consensus/Row.js'
import type { Transport } from '../transport/Transport.js'
import { Attempt } from './Attempt.js'
import { GatewayCounts } from './GatewayCounts.js'
import type { GatewayEffect } from './GatewayEffect.js'
import type { GatewayInput } from './GatewayInput.js'
import { GatewayMachine } from './GatewayMachine.js'
import type { GatewayStartup } from './GatewayStartup.js'
import type { Ticket } from './Ticket.js'
import { Upstream } from './Upstream.js'

/** The part of the memory that the runtime leaves which is for bodies of requests and gathered answers. */
const heldRatio = 0.3
/** When callers whose requests can't be taken on now are to come back. */
const comeBackMs = 500

const methods: readonly Dispatcher.HttpMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']

export class GatewayTask {
  readonly machine: GatewayMachine
  readonly agent: AgentMachine
  readonly timings: Timings
  readonly counts = new GatewayCounts()
  /** What is held of requests and answers. */
  readonly memory: MemoryBudget
  readonly garbage: GarbagePacer
  readonly #startup: GatewayStartup
  readonly #logger: Logger
  readonly #transport: Transport
  readonly #wire: RouteCodec
  readonly #outside: PlatformClient
  readonly #upstream: Upstream
  readonly #tickets = new Map<string, Ticket>()
  readonly #memoryWatch: MemoryWatch
  readonly #ticker: NodeJS.Timeout
  #onAdopted: () => void = () => undefined
  #count = 0
  #ticks = 0
  #loads: readonly { key: string; count: number }[] = []

  constructor(startup: GatewayStartup, logger: Logger, transport: Transport, wire: RouteCodec, outside: PlatformClient) {
    this.#startup = startup
    this.#logger = logger
    this.#transport = transport
    this.#wire = wire
    this.#outside = outside
    this.timings = Timings(startup.bounds)
    this.memory = new MemoryBudget(heldRatio * freeMemoryBytes(startup.memoryMb))
    this.garbage = new GarbagePacer(startup.memoryMb)
    this.#memoryWatch = new MemoryWatch(startup.memoryMb, this.memory, (sentence) => {
      logger.warn('memory', `${sentence}.`)
    })
    if (startup.without.length > 0) logger.warn('gateway', `Switched off: ${startup.without.join(', ')}.`)
    const random = new Random(crypto.getRandomValues(new Uint32Array(1))[0] ?? 0)
    const { name, zone, seeds, system, retryRatio, retryAllowance, retryWindowMs } = startup
    this.agent = new AgentMachine({ name, zone, address: transport.address, seeds, proxy: '', system }, this.timings, random, clockMs())
    this.machine = new GatewayMachine(
      {
        name,
        zone,
        retryRatio,
        retryAllowance,
        retryWindowMs,
        suspectMs: 0.7 * startup.bounds.charterMs,
        refillMs: startup.bounds.charterMs,
        tallyMs: 0.125 * startup.bounds.charterMs,
      },
      this.agent.copy,
      random,
      Mechanisms.without(startup.without),
    )
    this.#upstream = new Upstream({ connectMs: 0.75 * startup.bounds.charterMs, idleMs: 0.5 * startup.bounds.charterMs })
    transport.hear((from, fromAddress, message) => {
      if (message.kind === 'outlook') this.step({ kind: 'outlook', models: message.models })
      else this.#agent({ kind: 'message', from, fromAddress, message })
    })
    this.#ticker = setInterval(() => {
      this.#tick()
    }, 2.4 * this.timings.tickMs)
  }

  /** True once the network in force is here and the core has been heard in this life. */
  get ready(): boolean {
    return this.agent.copy.get('network') !== undefined && this.agent.level
  }

  get waiting(): number {
    return this.#tickets.size
  }

  /** What this gateway is doing now, by the names of its metrics. */
  get figures(): Record<string, number> {
    const nowMs = clockMs()
    return {
      ready: this.ready ? 1 : 0,
      in_touch: this.agent.upToDate(nowMs) ? 1 : 0,
      requests_open: this.machine.open,
      requests_held: this.machine.held,
      servers_known: [...this.machine.servers.all].length,
      members_known: this.agent.memberNames.length,
      ...this.agent.figures(nowMs),
      ...this.#transport.figures,
    }
  }

  /**
   * Takes a request on its way; the ticket is kept until the caller has its final answer. What it gives back
   * is to be called when the caller leaves before its turn on the connection has come.
   */
  allow(request: IncomingMessage, response: ServerResponse, body: Buffer, waitedMs: number): () => void {
    const arrival = this.#wire.arrival(request.headers)
    const method = methods.find((one) => one === request.method)
    const path = request.url ?? '/'
    if (!this.ready) {
      this.answer(response, arrival.id, 503, 2 * this.timings.electionMs, 'has no network in force yet')
      return () => undefined
    }
    if (method === undefined) {
      this.answer(response, arrival.id, 405, undefined, 'method: not allowed here')
      return () => undefined
    }
    if (arrival.dueInMs !== undefined) arrival.dueInMs -= waitedMs
    this.machine.inTouch = this.agent.upToDate(clockMs())
    this.#count += 1
    const id = String(this.#count)
    const answerMemory = this.memory.reserve('answers')
    this.#tickets.set(id, {
      requestId: arrival.id,
      response,
      method,
      path,
      headers: request.headers,
      body,
      attempt: 0,
      controller: undefined,
      head: undefined,
      relaying: false,
      scanner: undefined,
      gathered: undefined,
      answerMemory,
    })
    const leave = () => {
      answerMemory.release()
      if (!this.#tickets.has(id)) return
      this.counts.callerGone()
      this.step({ kind: 'callerGone', id })
      this.#tickets.delete(id)
    }
    response.on('close', leave)
    response.on('drain', () => {
      const ticket = this.#tickets.get(id)
      if (ticket === undefined) return
      ticket.controller?.resume()
      this.step({ kind: 'flow', id, attempt: ticket.attempt, blocked: false })
    })
    this.step({ kind: 'arrived', id, host: request.headers.host ?? '', path, arrival })
    return leave
  }

  /** Refuses a request that can't be taken on now; it has not run. */
  refuseForNow(request: IncomingMessage, response: ServerResponse, why: string): void {
    this.answer(response, this.#wire.arrival(request.headers).id, 503, comeBackMs, why)
  }

  answer(response: ServerResponse, id: string, status: number, comeBackMs: number | undefined, why: string): void {
    this.counts.refused(status, why)
    if (response.headersSent || response.destroyed) return
    const body = JSON.stringify({ why })
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...this.#wire.refusal(id, comeBackMs),
    })
    response.end(body)
  }

  /** Logs how many requests are under way; the end of the process cuts them. */
  tellCut(): void {
    const open = this.#tickets.size
    if (open > 0) this.#logger.warn('gateway', `Stops with ${String(open)} requests under way.`)
  }

  async stop(): Promise<void> {
    clearInterval(this.#ticker)
    this.#memoryWatch.close()
    this.#upstream.close()
    await this.#transport.close()
  }

  /** Has the listener called after each change of the network in force. */
  hearAdopted(listener: () => void): void {
    this.#onAdopted = listener
  }

  reseed(seeds: string[]): void {
    this.agent.reseed(seeds)
  }

  #tick(): void {
    this.#agent({ kind: 'tick' })
    this.machine.servers.members = this.agent.memberNames
    this.machine.inTouch = this.agent.upToDate(clockMs())
    if (this.#loads !== this.agent.loads) {
      this.#loads = this.agent.loads
      this.machine.servers.told(this.#loads)
    }
    this.#ticks += 1
    if (this.#ticks % 8 === 0) {
      this.machine.servers.barred = new Set(this.agent.barred(clockMs()))
      this.#upstream.sweep((server) => this.machine.servers.get(server) !== undefined)
    }
    this.step({ kind: 'tick' })
  }

  #agent(input: AgentInput): void {
    const effects = this.agent.step(input, clockMs())
    this.#transport.cluster = this.agent.system
    for (const effect of effects) {
      if (effect.kind === 'send') this.#transport.send(effect.toAddress, effect.message)
      else if (effect.kind === 'say') this.#logger.say(effect.part, effect.sentence)
      else if (effect.kind === 'adopted') this.#adopted(effect.rows)
      else void this.#readPlatform()
    }
  }

  #adopted(rows: readonly Row[]): void {
    this.step({ kind: 'adopted', rows })
    this.#onAdopted()
  }

  async #readPlatform(): Promise<void> {
    const servers = await this.#outside.list(this.timings.platformMs)
    if (servers !== undefined) this.#agent({ kind: 'platform', servers })
  }

  step(input: GatewayInput): void {
    for (const effect of this.machine.step(input, clockMs())) this.#carryOut(effect)
  }

  #carryOut(effect: GatewayEffect): void {
    switch (effect.kind) {
      case 'attempt':
        this.#attempt(effect)
        break
      case 'relay': {
        const ticket = this.#tickets.get(effect.id)
        if (ticket !== undefined) ticket.relaying = true
        break
      }
      case 'release': {
        const ticket = this.#tickets.get(effect.id)
        if (ticket === undefined) break
        const { controller } = ticket
        ticket.controller = undefined
        ticket.attempt = -1
        controller?.abort(new Error('released'))
        break
      }
      case 'turnAway': {
        const ticket = this.#tickets.get(effect.id)
        this.#tickets.delete(effect.id)
        if (ticket !== undefined) this.answer(ticket.response, ticket.requestId, effect.status, effect.comeBackMs, effect.why)
        break
      }
      case 'breakOff': {
        const ticket = this.#tickets.get(effect.id)
        this.#tickets.delete(effect.id)
        ticket?.response.destroy()
        this.counts.brokenOff()
        this.#logger.say('gateway', `Broke off the answer to ${ticket?.requestId ?? ''}: ${effect.why}.`)
        break
      }
      case 'tell':
        this.#agent({ kind: 'message', from: this.#startup.name, fromAddress: '', message: effect.message })
        break
    }
  }

  #attempt(effect: Extract<GatewayEffect, { kind: 'attempt' }>): void {
    const { id, attempt, server, address } = effect
    const ticket = this.#tickets.get(id)
    if (ticket === undefined) return
    this.counts.attempted(attempt)
    ticket.attempt = attempt
    ticket.controller = undefined
    ticket.relaying = false
    ticket.scanner = undefined
    ticket.gathered = undefined
    if (!ticket.response.headersSent) ticket.head = undefined
    const place = {
      id,
      attempt,
      resumeAfter: effect.resumeAfter,
      ticket,
      isOpen: () => this.#tickets.get(id) === ticket,
      close: () => {
        this.counts.served(ticket.head?.status ?? ticket.response.statusCode)
        this.#tickets.delete(id)
      },
      step: (input: GatewayInput) => {
        this.step(input)
      },
    }
    const headers = this.#wire.onward(ticket.headers, effect)
    const options = { path: ticket.path, method: ticket.method, headers, body: ticket.body.length > 0 ? ticket.body : null }
    this.#upstream.dispatch(server, address, effect.connections, options, new Attempt(place, this.#wire))
  }
}
