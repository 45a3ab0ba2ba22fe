/**
 * A stand-in for a server of a service, sound by the pages: it runs each request that it takes once, answers with its id
 * and its seal, turns away what is for another server or beyond its places, and stops work when its caller's connection closes.
 * `answer(request, response, run, server)` may be given to answer otherwise, and `report(socket)` to spoil a report.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { ServerMemory } from './ServerMemory.mjs'

export class ModelServer {
  /** `memory`: what a `ServerMemory` is made of; nothing for a server without models. */
  constructor({
    name,
    service,
    ip,
    port = 8080,
    zone,
    capacity = 64,
    memory,
    events = 12,
    firstMs = 200,
    gapMs = 380,
    workMs = 60,
    answer,
  }) {
    Object.assign(this, { name, service, ip, port, zone, capacity, events, firstMs, gapMs, workMs, answer })
    this.runs = []
    this.orders = []
    this.memory = memory === undefined ? undefined : new ServerMemory(memory)
    this.fallen = false
    this.active = []
    this.condition = 'in_service'
  }

  get address() {
    return `${this.ip}:${this.port}`
  }

  get listed() {
    const held = this.memory?.told.models.map((name) => ({ name, revision: 1, adapter_list: [] }))
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      revision: 'v1',
      capacity: this.capacity,
      condition: this.condition,
      warmup_left_ms: 0,
      ...(held === undefined ? {} : { phase: 'combined', model_list: held }),
      instance_id: this.name,
    }
  }

  async start() {
    this.server = createServer((request, response) => void this.#serve(request, response))
    this.server.keepAliveTimeout = 30_000
    this.server.listen(this.port, this.ip)
    await once(this.server, 'listening')
  }

  async stop() {
    if (this.server === undefined) return
    this.server.closeAllConnections()
    this.server.close()
    this.server = undefined
  }

  async #serve(request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const json = (status, value) => response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
    const target = request.headers['target-instance']
    if (request.url === '/health') return response.writeHead(200, { 'instance-id': this.name, 'content-length': 0 }).end()
    if (request.url === '/v1/report') {
      if (await this.report?.(response.socket)) return
      const { models = [], busy = false, sequence = 0 } = this.memory?.told ?? {}
      return json(200, {
        phase: 'combined',
        model_list: models.map((name) => ({ name, revision: 1, adapter_list: [] })),
        saturated: busy,
        call_sequence: sequence,
        pending: 0,
        active: this.active.length,
        cache_used: 0,
        cache_capacity: 200_000,
        handle_count: 0,
      })
    }
    if (request.url === '/v1/order') {
      if (target !== undefined && target !== this.name) return json(421, {})
      const order = JSON.parse(body.toString())
      const usedMb = this.memory?.usedMb ?? 0
      const held = [...(this.memory?.models ?? [])]
      const taken = this.memory?.take(order, (model) => this.active.filter((run) => run.model === model).length) ?? { status: 400 }
      this.orders.push({ atMs: Date.now(), server: this.name, order, ...taken, usedMb, held })
      json(taken.status, {})
      if (taken.overMb > 0) {
        this.fallen = true
        setImmediate(() => this.stop())
      }
      return
    }
    const id = request.headers['attempt-id'] ?? ''
    const refuse = (status) => response.writeHead(status, { 'attempt-id': id, 'not-executed': '1', 'content-length': 0 }).end()
    if (target !== undefined && target !== this.name) return refuse(421)
    const [model] = (request.headers['model-name'] ?? '').split('/')
    if (this.memory?.concerns(model)) return refuse(503)
    if (this.memory !== undefined && !this.memory.models.has(model)) return refuse(421)
    if (this.active.length >= this.capacity) return refuse(503)
    const run = {
      id,
      model,
      server: this.name,
      method: request.method,
      url: request.url,
      body: body.toString('latin1'),
      atMs: Date.now(),
      endMs: undefined,
      ended: '',
    }
    this.runs.push(run)
    this.active.push(run)
    response.once('close', () => {
      this.active.splice(this.active.indexOf(run), 1)
      run.endMs = Date.now()
      run.ended ||= response.writableFinished ? 'answered' : 'its connection was closed'
    })
    if (this.answer !== undefined) return this.answer(request, response, run, this)
    await this.sound(request, response, run)
  }

  /** The sound answer. */
  async sound(request, response, run) {
    const head = { 'attempt-id': run.id, 'server-seal': `${this.name}-${this.runs.length}` }
    if (this.memory === undefined) {
      await pause(this.workMs)
      if (!response.destroyed) response.writeHead(200, { ...head, 'content-type': 'text/plain' }).end(`answer to ${run.id}`)
      return
    }
    const after = Number(request.headers['last-event-id'] ?? 0)
    await pause(this.firstMs)
    if (response.destroyed) return
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
    for (let event = after + 1; event <= this.events; event++) {
      if (response.destroyed) return
      response.write(`id: ${event}\ndata: ${run.id} ${event} of ${this.events}\n\n`)
      if (event < this.events) await pause(this.gapMs)
    }
    response.end()
  }
}
