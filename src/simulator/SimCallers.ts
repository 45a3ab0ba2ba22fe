/**
 * The callers of a simulated run: they ask at the rates of the deployment's courses, at any proxy that
 * is up, and the figures of what they waited for are kept here. A fault may give them odd dues, long
 * streams, or let them leave.
 */
import { Random } from '../common/Random.js'
import type { Deployment } from './Deployment.js'
import type { SimAsk } from './SimAsk.js'
import type { Simulation } from './Simulation.js'

type Course = Deployment['courses'][number]
const dueMs = 8000
/** Operators move the partner's due within these while a run goes on. */
const ownDueMs = { least: 9000, most: 10_000 }

export class SimCallers {
  readonly waits: number[] = []
  readonly modelWaits: number[] = []
  /** Waits of model requests, and cold ones among the asked, from the first fault on. */
  readonly hurtWaits: number[] = []
  hurtColdAsks = 0
  hurtFromMs = Infinity
  modelAsks = 0
  /** Model requests that came when no server held their model and adapter. */
  coldAsks = 0
  /** Prompt parts that came to servers, and those of them that the server had kept. */
  parts = 0
  partsKept = 0
  longestRunMs = 2000
  /** What a fault makes of the callers that come while it lasts. */
  manner: { dueInMs?: () => number | undefined; leavesAfterMs?: () => number | undefined } = {}
  readonly #sim: Simulation
  #asked = 0

  constructor(sim: Simulation) {
    this.#sim = sim
  }

  waited(ask: SimAsk, waitMs: number): void {
    this.waits.push(waitMs)
    if (ask.kind !== 'model') return
    this.modelWaits.push(waitMs)
    if (ask.askedMs >= this.hurtFromMs) this.hurtWaits.push(waitMs)
  }

  ask(course: Course, random = this.#sim.random, runMs?: number): void {
    const { clock, options, see, dataPlane } = this.#sim
    const [name, proxy] = random.pick([...dataPlane.proxies].filter(([, one]) => one.process.alive)) ?? []
    if (name === undefined || proxy === undefined) return
    this.#asked += 1
    this.longestRunMs = Math.max(this.longestRunMs, runMs ?? 0)
    const id = String(this.#asked)
    const request = `${course.service}-${id}`
    const service = Object.values(options.deployment.charter.partners)
      .map((branch) => branch.services[course.service])
      .find((one) => one !== undefined)
    const adapter = course.adapters.length > 0 && random.hit(0.5) ? (random.pick(course.adapters) ?? '') : ''
    if (course.kind === 'model') this.#countCold(course.service, adapter)
    const talk = random.below(8)
    const shared = Array.from({ length: course.prefix }, (_, at) => `${course.service}-${String(talk)}-${String(at)}`)
    const chain = course.kind === 'service' ? [] : shared.concat(request)
    const dueInMs = this.manner.dueInMs === undefined ? dueMs : this.manner.dueInMs()
    proxy.asks.set(id, {
      service: course.service,
      kind: course.kind,
      adapter,
      chain,
      lines: course.lines,
      askedMs: clock.nowMs,
      request,
      runMs,
    })
    see({
      kind: 'asked',
      atMs: clock.nowMs,
      request,
      service: course.service,
      repeatable: service?.repeatable ?? false,
      dueMs: clock.nowMs + (dueInMs ?? ownDueMs.most),
      leastDueMs: clock.nowMs + (dueInMs ?? ownDueMs.least),
      proper: true,
    })
    const target =
      course.kind === 'model'
        ? { kind: 'model' as const, name: course.service, adapter, chain }
        : { kind: 'service' as const, name: course.service }
    const cut = options.broken === 'early' && dueInMs !== undefined ? dueInMs / 100 : dueInMs
    proxy.process.deliver({ kind: 'arrived', id, target, bytes: 200, dueInMs: cut })
    const leavesMs = this.manner.leavesAfterMs?.()
    if (leavesMs !== undefined)
      clock.after(leavesMs, () => {
        dataPlane.leave(name, id)
      })
  }

  #countCold(model: string, adapter: string): void {
    const { clock, fleet } = this.#sim
    this.modelAsks += 1
    if ([...fleet.servers.values()].some((one) => one.kind === 'model' && one.state?.allows(model, adapter, clock.nowMs) === true)) return
    this.coldAsks += 1
    if (clock.nowMs >= this.hurtFromMs) this.hurtColdAsks += 1
  }

  begin(untilMs: number): void {
    const { clock, options } = this.#sim
    options.deployment.courses.forEach((course, at) => {
      const random = new Random(options.seed * 1000 + at)
      const gapMs = () => (course.steady ? (1000 / course.perS) * random.between(0.9, 1.1) : random.exponential(1000 / course.perS))
      const next = () => {
        if (clock.nowMs >= untilMs) return
        this.ask(course, random)
        clock.after(gapMs(), next)
      }
      clock.after(random.next() * gapMs(), next)
    })
  }
}
