/**
 * A server of the soak over real sockets: it runs requests in its places, queues a few, turns the rest away,
 * takes orders, tells what it holds, and can crash and come back empty as another life. Each body tells
 * the request, the run and its parts, so that a gap, a repeat or a mix-up shows.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../../common/clockMs.js'
import { readBody } from '../../common/readBody.js'
import type { SoakArrival } from './SoakArrival.js'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakListed } from './SoakListed.js'
import type { SoakLog } from './SoakLog.js'
import { SoakMemory } from './SoakMemory.js'
import type { SoakRun } from './SoakRun.js'
import { SoakScene } from './SoakScene.js'
import { soakEvents } from './soakEvents.js'

interface Plan {
  name: string
  zone: string
  ip: string
  service: string
  /** The models that it holds at the start. */
  holds: readonly string[]
}
interface Place {
  arrival: SoakArrival
  start: (() => void) | undefined
}

const firstPort = 8080
const bodyBytes = 5_000_000
const tickMs = 5
const firstEventMs = 40
const nextEventMs = 15
/** Streams of the service for kept connections come an event at a time, of six, within four seconds and a little. */
const scrollEventMs = 800
const plainMs = 20
const slowFactor = 12

export class SoakServer {
  readonly plan: Plan
  /** Whether answers to orders are lost on their way, and whether it is slow. */
  losesAnswers = false
  slow = false
  /** Whether every other request runs, and its connection ends without an answer. */
  breaksAnswers = false
  readonly #dialect: SoakDialect
  readonly #log: SoakLog
  readonly #disk = new Set<string>()
  readonly #places = new Set<Place>()
  #memory: SoakMemory
  #server: Server | undefined
  #ticks: NodeJS.Timeout | undefined
  #lives = 0
  #runs = 0

  constructor(plan: Plan, dialect: SoakDialect, log: SoakLog) {
    this.plan = plan
    this.#dialect = dialect
    this.#log = log
    this.#memory = new SoakMemory(plan.holds, this.#disk, clockMs())
  }

  get life(): string {
    return `${this.plan.name}.${String(this.#lives)}`
  }

  get address(): string {
    return `${this.plan.ip}:${String(firstPort + this.#lives)}`
  }

  get listed(): SoakListed | undefined {
    if (this.#server === undefined) return undefined
    const { service, zone } = this.plan
    return {
      server: this.life,
      service,
      address: this.address,
      zone,
      capacity: this.#capacity,
      models: this.#isEngine ? this.#memory.told(clockMs()).models : undefined,
    }
  }

  async open(): Promise<void> {
    this.#lives += 1
    if (this.#lives > 1) this.#memory = new SoakMemory([], this.#disk, clockMs())
    const life = this.life
    const server = createServer((request, response) => {
      void this.#serve(life, request, response)
    })
    server.keepAliveTimeout = 30_000
    server.listen(firstPort + this.#lives, this.plan.ip)
    await once(server, 'listening')
    this.#server = server
    this.#ticks = setInterval(() => {
      this.#memory.tick(clockMs(), (model, adapter) => this.#running(model, adapter))
    }, tickMs)
  }

  async crash(): Promise<void> {
    const server = this.#server
    this.#server = undefined
    clearInterval(this.#ticks)
    this.#places.clear()
    if (server === undefined) return
    server.close()
    server.closeAllConnections()
    await once(server, 'close')
  }

  get #capacity(): number {
    if (this.#isEngine) return SoakScene.modelCapacity
    return this.plan.service === SoakScene.scrollService ? SoakScene.scrollCapacity : SoakScene.plainCapacity
  }

  get #isEngine(): boolean {
    return this.plan.service === SoakScene.modelService
  }

  #running(model: string, adapter: string): number {
    const concerns = (one: SoakArrival) => one.model === model && (adapter === '' || one.adapter === adapter)
    return [...this.#places].filter((one) => one.start === undefined && concerns(one.arrival)).length
  }

  async #serve(life: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { paths } = this.#dialect
    const url = request.url ?? '/'
    const body = await readBody(request, bodyBytes)
    if (body === undefined || life !== this.life || this.#server === undefined) return
    if (url === paths.health) {
      response.writeHead(200, this.#dialect.healthHead(life)).end()
      return
    }
    if (url === paths.report) {
      const all = [...this.#places]
      const waiting = all.filter((one) => one.start !== undefined).length
      this.#json(response, 200, this.#dialect.report({ ...this.#memory.told(clockMs()), waiting, running: all.length - waiting }))
      return
    }
    const arrival = this.#dialect.arrival(request.headers)
    if (url === paths.orders) this.#order(arrival.target, body.toString(), response)
    else await this.#request(url, arrival, response)
  }

  #order(target: string, text: string, response: ServerResponse): void {
    const order = this.#dialect.order(text)
    if (order === undefined) {
      this.#json(response, 400, '{}')
      return
    }
    const atMs = clockMs()
    const stray = target !== '' && target !== this.life
    const taken = stray ? { status: 421, fillsMb: 0, fillsPlaces: 0, fromStore: false } : this.#memory.take(order, atMs)
    this.#log.orders.push({ ...order, ...taken, server: this.life, atMs })
    if (this.losesAnswers) response.destroy()
    else this.#json(response, taken.status, '{}')
    if (taken.fillsMb > SoakScene.roomMb || taken.fillsPlaces > SoakScene.adapterPlaces) void this.crash()
  }

  async #request(url: string, arrival: SoakArrival, response: ServerResponse): Promise<void> {
    const { model, adapter } = arrival
    const refuse = (status: number) => {
      const head = { ...this.#dialect.notRunHead(arrival.id), 'content-length': '0' }
      response.writeHead(status, head).end()
    }
    const engine = this.#isEngine
    if (arrival.target !== '' && arrival.target !== this.life) return refuse(421)
    if (engine && this.#memory.concerned(model, adapter)) return refuse(503)
    if (engine && !this.#memory.holds(model, adapter)) return refuse(421)
    const place: Place = { arrival, start: undefined }
    const all = [...this.#places]
    const running = all.filter((one) => one.start === undefined).length
    if (all.length - running >= SoakScene.waitingMost) return refuse(503)
    this.#places.add(place)
    let here = true
    const gone = once(response, 'close').then(() => {
      here = false
    })
    if (running >= this.#capacity) {
      const started = new Promise<void>((resolve) => {
        place.start = () => {
          place.start = undefined
          resolve()
        }
      })
      await Promise.race([started, gone])
    }
    if (here && this.#places.has(place)) {
      // What it waited for may have been unloaded meanwhile.
      if (engine && (this.#memory.concerned(model, adapter) || !this.#memory.holds(model, adapter))) refuse(503)
      else await this.#run(url, arrival, response, () => here)
    }
    this.#places.delete(place)
    const next = [...this.#places].find((one) => one.start !== undefined)
    if ([...this.#places].filter((one) => one.start === undefined).length < this.#capacity) next?.start?.()
  }

  async #run(url: string, arrival: SoakArrival, response: ServerResponse, here: () => boolean): Promise<void> {
    this.#runs += 1
    const seal = `${this.life}-${String(this.#runs)}`
    const stream = this.plan.service !== SoakScene.plainService
    const parts = stream ? soakEvents.of(arrival.id, seal, arrival.resumeAfter) : [`${arrival.id} ${url} ${seal}`]
    const run: SoakRun = {
      id: arrival.id,
      server: this.life,
      seal,
      atMs: clockMs(),
      endMs: Infinity,
      brokenOff: false,
      resumeAfter: arrival.resumeAfter,
      body: parts.join(''),
      stray: arrival.target !== '' && arrival.target !== this.life,
    }
    this.#log.runs.push(run)
    try {
      await this.#answer(run, arrival.id, parts, response, here)
    } finally {
      run.endMs = clockMs()
    }
  }

  async #answer(run: SoakRun, id: string, parts: readonly string[], response: ServerResponse, here: () => boolean): Promise<void> {
    const { seal } = run
    if (this.breaksAnswers && this.#runs % 2 === 0) {
      await pause(plainMs)
      run.brokenOff = true
      response.destroy()
      return
    }
    const factor = this.slow ? slowFactor : 1
    const head = this.#dialect.answerHead(id, seal)
    if (this.plan.service === SoakScene.plainService) {
      await pause(factor * plainMs)
      if (here()) response.writeHead(200, { ...head, 'content-length': String(Buffer.byteLength(parts.join(''))) }).end(parts.join(''))
      return
    }
    await pause(factor * firstEventMs)
    if (!here()) return
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
    for (const part of parts) {
      if (!here()) return
      response.write(part)
      await pause(factor * (this.plan.service === SoakScene.scrollService ? scrollEventMs : nextEventMs))
    }
    if (here()) response.end()
  }

  #json(response: ServerResponse, status: number, body: string): void {
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) }).end(body)
  }
}
