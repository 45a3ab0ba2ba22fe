/**
 * A placement scheduler in a network with a small stand-in of its servers, in virtual time. The servers count their orders and
 * refuse what they did not expect, note when they are ordered beyond their room, lose orders and answers, and restart.
 */
import type { Network } from '../../common/Network.js'
import { Random } from '../../common/Random.js'
import type { Order } from '../../common/Order.js'
import { Timings } from '../../common/Timings.js'
import { ReplicaTable } from '../../consensus/ReplicaTable.js'
import { retireModels } from '../../consensus/retireModels.js'
import { Dispatcher } from '../Dispatcher.js'
import { edgeMulti } from '../edgeMulti.js'
import type { Policy } from '../Policy.js'

type Service = Network['services'][number]
interface Held {
  models: Map<string, Set<string>>
  sequence: number
  doing: { order: Order; untilMs: number } | undefined
}
const sizeMb = 70_000
const roomMb = 220_000
const adapterMb = 300
const places = 4
const loadMs = 600
const loadsPerS = 7
const names = (count: number) => Array.from({ length: count }, (_, at) => `m${String(at)}`)

export class StandInFleet {
  static readonly loadsPerS = loadsPerS
  static readonly loadMs = loadMs

  readonly copy = new ReplicaTable()
  readonly servers = new Map<string, Held>()
  readonly begun: number[] = []
  readonly falls: string[] = []
  readonly sent: { server: string; order: Order; atMs: number }[] = []
  readonly overlaps: string[] = []
  dispatcher: Dispatcher
  nowMs = 0
  asked = 0
  lose = 0
  #stamp = 0
  #epoch = 1
  #services: readonly Service[] = []
  readonly #policy: Policy
  readonly #random = new Random(7)
  readonly #later: { atMs: number; run: () => void }[] = []

  constructor(models: number, servers: number, policy = edgeMulti) {
    this.#policy = policy
    this.dispatcher = this.#scheduler()
    this.put('network', '{"revision":1}')
    this.configure(names(models))
    for (let at = 0; at < servers; at++) this.start(`i${String(at)}`, `z${String(at % 3)}`, [])
  }

  #scheduler(): Dispatcher {
    const timings = Timings({ charterMs: 5000, recoverMs: 5000, drainMs: 5000, emptyMs: 10_000 })
    return new Dispatcher(timings, this.#epoch, this.#epoch === 1, this.#policy, this.nowMs)
  }

  /** Puts a configuration in force that lists just these models. */
  configure(models: readonly string[]): void {
    const batch = {
      capacity: 32,
      cacheTokens: 1000,
      roomMb,
      adapterPlaces: places,
      loadsPerS,
      models: models.map((name) => ({ name, sizeMb, loadMs, adapters: ['a1', 'a2', 'a3'], adapterMb })),
    }
    const services = [{ name: 's', connections: 9, warmMs: 0, coldPerS: 0, batch }]
    this.#stamp += 1
    retireModels(this.copy, this.#stamp, this.#services, services)
    this.#services = services
    this.put('service/s', JSON.stringify(services[0]))
  }

  /** Another control node takes the placement over, which knows only the replicated table. */
  changeScheduler(): void {
    this.#epoch += 1
    this.dispatcher = this.#scheduler()
  }

  put(key: string, value: string | undefined): void {
    this.#stamp += 1
    this.copy.set({ key, stamp: this.#stamp, gone: value === undefined, value: value ?? '' })
  }

  start(name: string, zone: string, models: readonly string[]): void {
    this.servers.set(name, { models: new Map(models.map((one) => [one, new Set<string>()])), sequence: 0, doing: undefined })
    this.put(
      `server/${name}`,
      JSON.stringify({ name, address: '127.0.0.1:1', zone, service: 's', draining: false, capacity: 32, cold: false }),
    )
  }

  end(name: string): void {
    this.servers.delete(name)
    this.put(`server/${name}`, undefined)
  }

  holders(model: string): string[] {
    return [...this.servers].flatMap(([name, one]) => (one.models.has(model) ? [name] : []))
  }

  request(model: string, adapter: string, count: number, held: boolean, flights: { server: string; count: number }[] = []): void {
    const key = `s:${model}`
    this.dispatcher.tally(
      'edge',
      {
        session: 'x',
        adopted: 0,
        held: held ? [{ model: key, adapter, count, dueInMs: 5000 }] : [],
        flights: flights.map((one) => ({ ...one, model: key, adapter })),
      },
      count > 0 ? [{ model: key, adapter, count, agoMs: 0 }] : [],
      this.nowMs,
    )
  }

  quiet(): void {
    this.dispatcher.tally('edge', { session: 'x', adopted: 0, held: [], flights: [] }, [], this.nowMs)
  }

  list(): void {
    const servers = [...this.servers].map(([name, one]) => ({
      name,
      address: '127.0.0.1:1',
      zone: '',
      draining: false,
      service: 's',
      models: [...one.models].map(([model, adapters]) => ({ model, adapters: [...adapters] })),
    }))
    const askedMs = this.nowMs
    this.#after(800, () => {
      this.dispatcher.listed(servers, askedMs + 800, this.nowMs)
    })
  }

  run(forMs: number, each: () => void = () => undefined): void {
    const untilMs = this.nowMs + forMs
    while (this.nowMs < untilMs) {
      this.nowMs += 25
      if (this.nowMs % 1000 === 0) this.list()
      for (const one of this.#later.filter((due) => due.atMs <= this.nowMs)) {
        this.#later.splice(this.#later.indexOf(one), 1)
        one.run()
      }
      for (const [name, held] of this.servers) if (held.doing !== undefined && held.doing.untilMs <= this.nowMs) this.#finish(name, held)
      each()
      const out = this.dispatcher.tick(this.copy, true, 0, this.nowMs)
      this.#after(25, () => {
        for (const row of out.rows) this.put(row.key, row.gone ? undefined : row.value)
      })
      for (const ask of out.asks) this.#ask(ask.server)
      for (const one of out.orders) this.#take(one.server, one.order)
    }
  }

  #after(ms: number, run: () => void): void {
    this.#later.push({ atMs: this.nowMs + ms, run })
  }

  #ask(server: string): void {
    this.asked += 1
    const held = this.servers.get(server)
    const askedMs = this.nowMs
    const report =
      held === undefined
        ? undefined
        : {
            server,
            incarnation: server,
            madeMs: this.nowMs,
            models: [...held.models.keys()].map((model) => ({ model, state: 'loaded' as const, sizeMb: 0, flights: 0 })),
            adapters: [...held.models].flatMap(([model, adapters]) =>
              [...adapters].map((adapter) => ({ model, adapter, state: 'loaded' as const, flights: 0 })),
            ),
            parts: [],
            sequence: held.sequence,
            busy: held.doing !== undefined,
          }
    this.#after(this.#random.between(5, 60), () => {
      this.dispatcher.reported(server, report, askedMs, this.nowMs)
    })
  }

  #take(server: string, order: Order): void {
    this.sent.push({ server, order, atMs: this.nowMs })
    const held = this.servers.get(server)
    const tell = (reply: 'accepted' | 'turnedAway' | 'unknown' | 'held', ms = 25) => {
      this.#after(ms, () => {
        this.dispatcher.replied(server, order.number, reply, this.nowMs)
      })
    }
    if (held === undefined || this.#random.hit(this.lose)) {
      tell('unknown', 400)
      return
    }
    const answer = this.#random.hit(this.lose) ? 'unknown' : undefined
    if (held.doing !== undefined || order.expected !== held.sequence) {
      if (held.doing !== undefined) this.overlaps.push(server)
      tell(answer ?? 'turnedAway')
      return
    }
    held.sequence += 1
    const model = order.model.slice(2)
    if (order.kind === 'load') {
      this.begun.push(this.nowMs)
      const adapters = [...held.models.values()].reduce((sum, one) => sum + one.size, 0)
      if ((held.models.size + 1) * sizeMb + adapters * adapterMb > roomMb) this.falls.push(server)
    }
    if (order.kind === 'attach') {
      const adapters = [...held.models.values()].reduce((sum, one) => sum + one.size, 0)
      if (adapters + 1 > places || !held.models.has(model)) this.falls.push(server)
    }
    held.doing = { order, untilMs: this.nowMs + (order.kind === 'load' ? loadMs : 25) }
    tell(answer ?? 'accepted')
  }

  #finish(_name: string, held: Held): void {
    const order = held.doing?.order
    held.doing = undefined
    if (order === undefined) return
    const model = order.model.slice(2)
    if (order.kind === 'load') held.models.set(model, new Set())
    if (order.kind === 'unload') held.models.delete(model)
    if (order.kind === 'attach') held.models.get(model)?.add(order.adapter)
    if (order.kind === 'detach') held.models.get(model)?.delete(order.adapter)
  }
}
