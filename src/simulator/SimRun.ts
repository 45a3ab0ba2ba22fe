/**
 * One request's run at a simulated server: it arrives there, is refused or runs, and its answer comes back, unless the
 * server crashes, goes dark or breaks the run off.
 */
import { digest } from '../common/digest.js'
import { Verdict } from '../common/Verdict.js'
import type { ProxyInput } from '../proxy/ProxyInput.js'
import type { SimAsk } from './SimAsk.js'
import type { SimCallers } from './SimCallers.js'
import type { SimFlight } from './SimFlight.js'
import type { SimProxyNode } from './SimProxyNode.js'
import type { SimWorld } from './SimWorld.js'

/** The request that runs, and the attempt that brought it to the server. */
interface Attempt {
  readonly proxy: SimProxyNode
  readonly flight: SimFlight
  readonly ask: SimAsk
  readonly id: string
  readonly attempt: number
  /** The life of the proxy's process that made the attempt. */
  readonly life: number
}

const refusalMs = 0.5
/** The head has surely reached the proxy by then, and so has the end. */
const arrivedMs = 1.1
const endedMs = 1.2
const darkPollMs = 100

export class SimRun {
  readonly #world: SimWorld
  readonly #callers: SimCallers
  readonly #attempt: Attempt
  readonly #model: string
  #sum = 0
  /** True while it runs at the server. */
  #open = false
  /** True once the proxy has the head of the answer. */
  #headed = false

  constructor(world: SimWorld, callers: SimCallers, attempt: Attempt) {
    this.#world = world
    this.#callers = callers
    this.#attempt = attempt
    this.#model = attempt.ask.kind === 'model' ? attempt.ask.service : ''
  }

  /** The proxy sends the request to the server. */
  send(): void {
    const { clock, random } = this.#world
    const { id, attempt } = this.#attempt
    this.#tell(0, { kind: 'sent', id, attempt })
    clock.after(random.between(0.2, 1), () => {
      this.#arrive()
    })
  }

  #tell(waitMs: number, input: ProxyInput): void {
    const { proxy, life } = this.#attempt
    proxy.process.deliverLater(waitMs, input, life)
  }

  /** The request is at the server. */
  #arrive(): void {
    const { clock } = this.#world
    const { flight, ask, id, attempt } = this.#attempt
    const { server, state } = flight
    if (flight.cancelled) return
    if (server.state !== state) this.#lose()
    else if (!state.allows(this.#model, ask.adapter, clock.nowMs)) this.#tell(refusalMs, { kind: 'head', id, attempt, notRun: true })
    else this.#begin()
  }

  /** The connection broke. */
  #lose(): void {
    const { random, options } = this.#world
    const { id, attempt } = this.#attempt
    const verdict = options.broken === 'verdict' ? Verdict.notRun : Verdict.mayHaveRun
    this.#tell(random.between(0.2, 1), { kind: 'defect', id, attempt, verdict, why: 'the connection broke' })
  }

  #begin(): void {
    const { clock, random } = this.#world
    const { flight, ask } = this.#attempt
    const { server, state } = flight
    this.#see()
    state.begin(this.#model, ask.adapter, clock.nowMs)
    this.#callers.parts += ask.chain.length
    this.#callers.partsKept += state.keep(this.#model, ask.chain)
    this.#open = true
    flight.end = this.#end
    server.watchers.add(this.#crashed)
    if (random.hit(server.breaksRuns))
      clock.after(random.between(0.5, 20), () => {
        this.#breakOff()
      })
    this.#answer(this.#drawRunMs())
  }

  #see(): void {
    const { clock, see } = this.#world
    const { proxy, flight, ask } = this.#attempt
    const { incarnation } = flight.state
    this.#sum = digest(`${incarnation} ${ask.request} ${String(clock.nowMs)}`)
    see({
      kind: 'ran',
      atMs: clock.nowMs,
      request: ask.request,
      marks: [ask.request],
      server: flight.server.name,
      service: ask.service,
      sum: this.#sum,
      incarnation,
      wokeMs: proxy.process.wokeMs,
    })
  }

  /** How long it runs. */
  #drawRunMs(): number {
    const { random, options } = this.#world
    const { flight, ask } = this.#attempt
    const { modelRunMs, serviceRunMs } = options.deployment
    const usualMs = (ask.kind === 'model' ? modelRunMs : serviceRunMs) * random.between(0.5, 1.5)
    return (ask.runMs ?? usualMs) * flight.server.slowness
  }

  /** The run ends at the server, whatever becomes of its answer. */
  readonly #end = (): void => {
    const { flight, ask } = this.#attempt
    const { server, state } = flight
    if (!this.#open) return
    this.#open = false
    server.watchers.delete(this.#crashed)
    if (server.state === state) state.end(this.#model, ask.adapter)
  }

  readonly #crashed = (): void => {
    if (!this.#open) return
    this.#open = false
    this.#fail()
  }

  /** The server breaks the connection in the midst of the run. */
  #breakOff(): void {
    if (!this.#open) return
    this.#end()
    this.#fail()
  }

  #fail(): void {
    if (this.#world.options.broken === 'whole' && this.#headed) this.#finish(this.#sum + 1)
    else this.#lose()
  }

  /** Sends the head of the answer with its first line, and its end when the run is over. */
  #answer(runMs: number): void {
    const { clock } = this.#world
    const startMs = clock.nowMs
    clock.after(runMs / this.#attempt.ask.lines, () => {
      this.#onceLit(false, 0, () => {
        this.#sendHead()
        const endsMs = startMs + runMs + 1
        clock.at(Math.max(endsMs, clock.nowMs + endedMs), () => {
          this.#onceLit(true, clock.nowMs, () => {
            this.#sendEnd()
          })
        })
      })
    })
  }

  #sendHead(): void {
    const { clock, random } = this.#world
    const { id, attempt } = this.#attempt
    this.#tell(random.between(0.2, 1), { kind: 'head', id, attempt, notRun: false })
    clock.after(arrivedMs, () => {
      this.#headed = true
    })
  }

  #sendEnd(): void {
    this.#end()
    this.#world.clock.after(endedMs, () => {
      this.#finish(this.#sum)
    })
  }

  /**
   * What a dark server would have sent comes once it is lit again, unless the connection was given up as idle before:
   * only a stream that has begun is.
   */
  #onceLit(isStream: boolean, sinceMs: number, act: () => void): void {
    const { clock, timings } = this.#world
    if (!this.#open) return
    if (!this.#attempt.flight.server.dark) act()
    else if (isStream && clock.nowMs - sinceMs > timings.streamIdleMs) {
      this.#end()
      this.#lose()
    } else
      clock.after(darkPollMs, () => {
        this.#onceLit(isStream, sinceMs, act)
      })
  }

  /** The caller has the whole answer, of which `sum` is the digest. */
  #finish(sum: number): void {
    const { clock, see } = this.#world
    const { proxy, flight, ask, id, attempt } = this.#attempt
    if (flight.cancelled || proxy.asks.get(id) !== ask) return
    proxy.asks.delete(id)
    proxy.flights.delete(id)
    see({ kind: 'whole', atMs: clock.nowMs, request: ask.request, status: 200, sum })
    this.#callers.waited(ask, clock.nowMs - ask.askedMs)
    proxy.process.deliver({ kind: 'ended', id, attempt })
  }
}
