/**
 * The clients of a soak. They choose among the gateways that say they are ready, obey what a refusal says of
 * when to come back, and try again once on a new connection: after a promise, or after any failure of a request
 * that may be repeated.
 */
import { setMaxListeners } from 'node:events'
import { setTimeout as pause } from 'node:timers/promises'
import { Agent, Client, request, type Dispatcher } from 'undici'
import { clockMs } from '../../common/clockMs.js'
import { Random } from '../../common/Random.js'
import type { SoakDialect } from './SoakDialect.js'
import { SoakKeptClients } from './SoakKeptClients.js'
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import { soakPromises } from './soakPromises.js'
import type { SoakSize } from './SoakSize.js'
import { SoakSlowClients } from './SoakSlowClients.js'
import type { SoakSeat } from './SoakSeat.js'
import type { SoakTry } from './SoakTry.js'

type Asked = Pick<SoakTry, 'route' | 'model' | 'adapter'>

const probeMs = 1000
const probeWaitMs = 800
const missesToLeave = 2
const graceMs = 500
const leastPartOfPause = 0.5
const mostPartOfPause = 1.5
const adapterRatio = 0.4
const longRatio = 0.5
const bookRatio = 0.5
/** A client waits no more than this part of its remaining time before it comes back. */
const waitRatio = 1 / 3
const repeatable: ReadonlySet<string> = new Set(['check', 'long'])

export class SoakClients {
  readonly #dialect: SoakDialect
  readonly #log: SoakLog
  readonly #size: SoakSize
  readonly #seats: readonly SoakSeat[]
  readonly #random: Random
  readonly #misses = new Map<string, number>()
  readonly #agent = new Agent({ connections: 64, pipelining: 1, keepAliveTimeout: 4000, connect: { timeout: 1000 } })
  readonly #underWay = new Set<Promise<void>>()
  #ends = new AbortController()
  #asks = 0

  constructor(seed: number, size: SoakSize, seats: readonly SoakSeat[], dialect: SoakDialect, log: SoakLog) {
    this.#random = new Random(seed)
    this.#size = size
    this.#seats = seats
    this.#dialect = dialect
    this.#log = log
  }

  /** Waits until every gateway says that it is ready. */
  async ready(waitMs: number): Promise<boolean> {
    const untilMs = clockMs() + waitMs
    while (clockMs() < untilMs) {
      if ((await Promise.all(this.#seats.map((seat) => this.#isReady(seat)))).every((one) => one)) return true
      await pause(100)
    }
    return false
  }

  /** Asks for everything that the scene asks for, until `lengthMs` have passed and each has its final answer. */
  async run(lengthMs: number): Promise<void> {
    const fromMs = clockMs()
    this.#ends = new AbortController()
    // Every gateway's probe waits on it.
    setMaxListeners(this.#seats.length + 1, this.#ends.signal)
    const probes = this.#seats.map((seat) => this.#probe(seat))
    const over = (atMs: number) => atMs - fromMs >= lengthMs
    const late = () => clockMs() - fromMs >= lengthMs / 2
    const streams = SoakScene.asked.map((one) =>
      this.#course(this.#random.fork(), over, (random) => {
        const adapter = one.adapters > 0 && random.hit(adapterRatio) ? `a${String(1 + random.below(one.adapters))}` : ''
        this.#ask({ route: random.hit(longRatio) ? 'long' : 'live', model: one.model, adapter })
        return (late() ? one.popularLater : one.popularFirst) ? one.popularPerS : one.rarePerS
      }),
    )
    const plain = this.#course(this.#random.fork(), over, (random) => {
      this.#ask({ route: random.hit(bookRatio) ? 'book' : 'check', model: '', adapter: '' })
      return SoakScene.plainPerS
    })
    const kept = new SoakKeptClients(this.#dialect, this.#log, () => this.#pick()).run(this.#size.keptClients, fromMs + lengthMs)
    const slow = new SoakSlowClients(this.#dialect, this.#log, () => this.#pick()).run(this.#size.slowClients, fromMs + lengthMs)
    await Promise.all([...streams, plain, kept, slow])
    await Promise.all(this.#underWay)
    this.#ends.abort()
    await Promise.all(probes)
    await this.#agent.destroy()
  }

  async #course(random: Random, over: (atMs: number) => boolean, ask: (random: Random) => number): Promise<void> {
    await pause(random.between(0, 1000))
    while (!over(clockMs())) {
      const perS = ask(random)
      await pause((1000 / perS) * random.between(leastPartOfPause, mostPartOfPause))
    }
  }

  #ask(asked: Asked): void {
    this.#asks += 1
    const work = this.#tries(this.#asks, asked).finally(() => this.#underWay.delete(work))
    this.#underWay.add(work)
  }

  async #tries(ask: number, asked: Asked): Promise<void> {
    const fromMs = clockMs()
    const first = await this.#try(ask, 1, asked, SoakScene.dueMs, this.#agent)
    const { seen } = first
    if (seen.status >= 200 && seen.status < 300 && seen.whole) return
    const promised = soakPromises.has(seen.status)
    if (!promised && !repeatable.has(asked.route)) return
    const leftMs = () => SoakScene.dueMs - (clockMs() - fromMs)
    if (promised) await pause(Math.max(0, Math.min(first.comeBackMs, leftMs() * waitRatio)))
    if (leftMs() > graceMs) await this.#try(ask, 2, asked, leftMs(), undefined)
  }

  async #try(
    ask: number,
    turn: number,
    asked: Asked,
    dueMs: number,
    kept: Agent | undefined,
  ): Promise<{ seen: SoakTry; comeBackMs: number }> {
    const seat = this.#pick()
    const id = `t${String(ask)}-${String(turn)}`
    const seen: SoakTry = {
      ...asked,
      id,
      ask,
      gateway: seat?.name ?? '',
      reused: false,
      dueMs,
      sentMs: clockMs(),
      endMs: 0,
      status: 0,
      seal: '',
      answeredId: '',
      body: '',
      whole: false,
      why: '',
    }
    this.#log.tries.push(seen)
    const origin = `http://${seat?.ip ?? ''}:${String(this.#dialect.ports.callers)}`
    const dispatcher: Dispatcher = kept ?? new Client(origin, { pipelining: 1, connect: { timeout: 1000 } })
    const head = this.#dialect.requestHead({ id, model: asked.model, adapter: asked.adapter, dueMs: Math.floor(dueMs), resumeAfter: 0 })
    let comeBackMs = 0
    try {
      const reply = await request(`${origin}/${asked.route}/${id}`, {
        dispatcher,
        method: 'POST',
        headers: { host: SoakScene.host, ...head },
        body: id,
        signal: AbortSignal.timeout(Math.floor(dueMs) + graceMs),
      })
      seen.status = reply.statusCode
      seen.seal = this.#dialect.seal(reply.headers) ?? ''
      seen.answeredId = this.#dialect.answeredId(reply.headers) ?? ''
      comeBackMs = 1000 * Number(reply.headers['retry-after'] ?? 0)
      for await (const chunk of reply.body.setEncoding('utf8')) seen.body += String(chunk)
      seen.whole = true
    } catch (error) {
      seen.why = error instanceof Error ? error.message : String(error)
    }
    seen.endMs = clockMs()
    if (kept === undefined) void dispatcher.destroy().catch(() => undefined)
    return { seen, comeBackMs: Number.isFinite(comeBackMs) ? comeBackMs : 0 }
  }

  /** One of the gateways that say they are ready, or any while none does. */
  #pick(): SoakSeat | undefined {
    const ready = this.#seats.filter((seat) => (this.#misses.get(seat.name) ?? 0) < missesToLeave)
    return this.#random.pick(ready.length > 0 ? ready : this.#seats)
  }

  async #probe(seat: SoakSeat): Promise<void> {
    while (!this.#ends.signal.aborted) {
      const askedMs = clockMs()
      const ready = await this.#isReady(seat)
      if (ready) this.#log.ready.push({ gateway: seat.name, atMs: askedMs })
      this.#misses.set(seat.name, ready ? 0 : (this.#misses.get(seat.name) ?? 0) + 1)
      await pause(probeMs, undefined, { signal: this.#ends.signal }).catch(() => undefined)
    }
  }

  async #isReady(seat: SoakSeat): Promise<boolean> {
    const { ports, paths } = this.#dialect
    const origin = `http://${seat.ip}:${String(ports.readiness)}`
    const client = new Client(origin, { connect: { timeout: probeWaitMs } })
    try {
      const reply = await request(`${origin}${paths.readiness}`, { dispatcher: client, signal: AbortSignal.timeout(probeWaitMs) })
      await reply.body.dump()
      return reply.statusCode === 200
    } catch {
      return false
    } finally {
      void client.destroy().catch(() => undefined)
    }
  }
}
