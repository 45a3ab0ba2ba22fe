/**
 * A model server as PROTOCOL.md describes it: it holds models within `weights_mb`, takes one order at a time, checks fences and
 * `expected_count`, reports each state 200 ms late, and streams the answers of requests for what it holds. `spoil(request)` may
 * give the bytes that it answers with while it is in trouble.
 */
import { nowMs } from './fleet.mjs'
import { rawServer } from './rawServer.mjs'

const reportLagMs = 200
const listLagMs = 800
const events = 6
const eventMs = 25
const adapterMs = 5

export class ModelServer {
  constructor({ ip, id, service, zone, capacity, modelMb, roomMb, places, loadMs, warmMs, holds, orders, spoil = () => undefined }) {
    Object.assign(this, { ip, id, service, zone, capacity, modelMb, roomMb, places, loadMs, warmMs, orders, spoil })
    this.models = new Map(holds.map((name) => [name, new Set()]))
    this.disk = new Set(holds)
    this.sequence = 0
    this.fence = 0
    this.busy = undefined
    this.running = new Map()
    this.runs = 0
    this.answers = 0
    this.history = []
    this.#note()
    this.server = rawServer(ip, 8080, (request, socket) => this.#answer(request, socket))
  }

  #note() {
    const models = [...this.models].map(([name, adapters]) => ({ name, revision: 1, adapter_list: [...adapters] }))
    this.history.push({ atMs: nowMs(), models, saturated: this.busy !== undefined, sequence: this.sequence })
    if (this.history.length > 500) this.history.shift()
  }

  #asOf(atMs) {
    return this.history.findLast((one) => one.atMs <= atMs) ?? this.history[0]
  }

  /** Its entry in the platform's list. */
  get listed() {
    return {
      instance_id: this.id, service: this.service, address: `${this.ip}:8080`, zone: this.zone, revision: 'v1', capacity: this.capacity,
      condition: 'in_service', warmup_left_ms: 0, phase: 'combined', model_list: this.#asOf(nowMs() - listLagMs).models,
    }
  }

  #json(socket, status, value, more = '') {
    const text = JSON.stringify(value)
    socket.write(`HTTP/1.1 ${String(status)} x\r\nContent-Type: application/json\r\n${more}Content-Length: ${String(text.length)}\r\n\r\n${text}`)
  }

  #answer(request, socket) {
    this.answers += 1
    const spoiled = this.spoil(request)
    if (spoiled !== undefined) return void socket.write(spoiled)
    if (request.path === '/health') return void socket.write(`HTTP/1.1 200 x\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`)
    if (request.path === '/v1/report') return this.#report(socket)
    const target = request.headers['target-instance']
    const attempt = request.headers['attempt-id'] ?? ''
    const refuse = (status) => socket.write(`HTTP/1.1 ${String(status)} x\r\nAttempt-Id: ${attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
    if (target !== undefined && target !== this.id) return void refuse(421)
    if (request.path === '/v1/order') return this.#order(request, socket)
    const [model = '', adapter = ''] = (request.headers['model-name'] ?? '').split('/')
    if (this.busy?.evicts === model) return void refuse(503)
    if (!this.models.has(model) || (adapter !== '' && !this.models.get(model).has(adapter))) return void refuse(421)
    this.#run(model, attempt, socket)
  }

  #report(socket) {
    const { models, saturated, sequence } = this.#asOf(nowMs() - reportLagMs)
    const active = [...this.running.values()].reduce((sum, one) => sum + one, 0)
    this.#json(socket, 200, {
      phase: 'combined', model_list: models, saturated, call_sequence: sequence, pending: 0, active, cache_used: 0, cache_capacity: 225298, handle_count: 0,
    })
  }

  #order({ headers, body }, socket) {
    let order
    try {
      order = JSON.parse(body.toString())
    } catch {
      order = {}
    }
    const status = this.#take(order)
    this.orders.push({ ...order, server: this.id, status, atMs: nowMs() })
    const close = /close/i.test(headers.connection ?? '') ? 'Connection: close\r\n' : ''
    this.#json(socket, status, {}, close)
    if (close !== '') socket.end()
  }

  #take({ operation, model, adapter, owner, fence_token: fence, expected_count: expected }) {
    if (owner === undefined || fence === undefined || (operation !== 'install' && operation !== 'evict')) return 400
    if (fence < this.fence) return 412
    this.fence = fence
    const held = this.models.get(model)
    const there = adapter === undefined ? held !== undefined : held?.has(adapter) === true
    if (there === (operation === 'install')) return 200
    if (this.busy !== undefined || (expected !== undefined && expected !== this.sequence)) return 409
    this.sequence += 1
    if (operation === 'install') this.#install(model, adapter)
    else this.#evict(model, adapter)
    this.#note()
    return 202
  }

  #done(change) {
    change()
    this.busy = undefined
    this.#note()
  }

  #install(model, adapter) {
    this.busy = {}
    if (adapter !== undefined) return void setTimeout(() => this.#done(() => this.models.get(model)?.add(adapter)), adapterMs)
    const takesMs = this.disk.has(model) ? this.warmMs : this.loadMs
    this.disk.add(model)
    setTimeout(() => this.#done(() => this.models.set(model, new Set())), takesMs)
  }

  #evict(model, adapter) {
    this.busy = { evicts: model }
    const wait = () => {
      if ((this.running.get(model) ?? 0) > 0) setTimeout(wait, 5)
      else this.#done(() => (adapter === undefined ? this.models.delete(model) : this.models.get(model)?.delete(adapter)))
    }
    setTimeout(wait, 5)
  }

  #run(model, attempt, socket) {
    this.runs += 1
    this.running.set(model, (this.running.get(model) ?? 0) + 1)
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: ${this.id}.${String(this.runs)}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
    )
    let event = 0
    const end = () => {
      clearInterval(timer)
      this.running.set(model, (this.running.get(model) ?? 1) - 1)
    }
    const timer = setInterval(() => {
      if (socket.destroyed) return end()
      event += 1
      const text = `id: ${String(event)}\ndata: ${attempt} ${String(event)}\n\n`
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
      if (event < events) return
      end()
      socket.write('0\r\n\r\n')
    }, eventMs)
  }

  close() {
    this.server.close()
  }
}
