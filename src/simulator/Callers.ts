/**
 * Stand-in callers: they ask at the rates of a deployment's courses, each request with an id of its
 * own, and write down what they got. Bounded in time and in requests under way.
 */
import { Agent, request as call } from 'undici'
import { Random } from '../common/Random.js'
import { clockMs } from '../common/clockMs.js'
import { digest } from '../common/digest.js'
import { Verdict } from '../common/Verdict.js'
import { CallerFormat } from '../adapters/CallerFormat.js'
import type { Deployment } from './Deployment.js'
import { requestMark } from './requestMark.js'
import type { Observation } from './Observation.js'

const mostUnderWay = 2000

export class Callers {
  readonly #deployment: Deployment
  readonly #addresses: () => string[]
  readonly #isWarm: (model: string, adapter: string) => boolean
  readonly #see: (observation: Observation) => void
  readonly #random: Random
  readonly #agent = new Agent({ connections: 64, headersTimeout: 60_000, bodyTimeout: 60_000 })
  readonly #timers: NodeJS.Timeout[] = []
  readonly waits = new Map<string, number[]>()
  modelAsks = 0
  coldAsks = 0
  #underWay = 0
  #count = 0
  #stopped = false

  constructor(
    deployment: Deployment,
    seed: number,
    addresses: () => string[],
    isWarm: (model: string, adapter: string) => boolean,
    see: (observation: Observation) => void,
  ) {
    this.#isWarm = isWarm
    this.#deployment = deployment
    this.#addresses = addresses
    this.#see = see
    this.#random = new Random(seed)
  }

  get underWay(): number {
    return this.#underWay
  }

  begin(): void {
    for (const course of this.#deployment.courses) this.#next(course)
  }

  stop(): void {
    this.#stopped = true
    for (const timer of this.#timers) clearTimeout(timer)
  }

  async close(): Promise<void> {
    await this.#agent.destroy()
  }

  #next(course: Deployment['courses'][number]): void {
    if (this.#stopped) return
    const timer = setTimeout(
      () => {
        this.#timers.splice(this.#timers.indexOf(timer), 1)
        if (this.#underWay < mostUnderWay) void this.ask(course)
        this.#next(course)
      },
      this.#random.exponential(1000 / course.perS),
    )
    this.#timers.push(timer)
  }

  async ask(course: Deployment['courses'][number], dueMs = 8000): Promise<void> {
    const address = this.#random.pick(this.#addresses())
    if (address === undefined) return
    this.#count += 1
    this.#underWay += 1
    const name = `${course.service}-${String(this.#count)}`
    const service = Object.values(this.#deployment.charter.partners)
      .map((branch) => branch.services[course.service])
      .find((one) => one !== undefined)
    const adapter = course.adapters.length > 0 && this.#random.hit(0.5) ? this.#random.pick(course.adapters) : undefined
    if (course.kind === 'model') {
      this.modelAsks += 1
      if (!this.#isWarm(course.service, adapter ?? '')) this.coldAsks += 1
    }
    const askedMs = clockMs()
    this.#see({
      kind: 'asked',
      atMs: askedMs,
      request: name,
      service: course.service,
      repeatable: service?.repeatable ?? false,
      dueMs: askedMs + dueMs,
      leastDueMs: askedMs + dueMs,
      proper: true,
    })
    const parts = Array.from({ length: course.prefix }, (_, at) => `${course.service} shared part ${String(at)}`).concat(name)
    const body = requestMark.body(name, course.kind === 'service' ? {} : { adapter: adapter ?? '', parts })
    const path = course.kind === 'service' ? `/v1/services/${course.service}/check` : `/v1/models/${course.service}`
    let headed = false
    try {
      const reply = await call(`http://${address}${path}`, {
        dispatcher: this.#agent,
        method: 'POST',
        body,
        headers: {
          'request-id': name,
          [requestMark.header]: name,
          'service-name': course.service,
          'due-ms': String(dueMs),
          lines: String(course.lines),
          'content-type': 'application/json',
        },
      })
      headed = true
      const text = await reply.body.text()
      const verdict = reply.headers[CallerFormat.verdictHeader]
      if (reply.statusCode < 300) {
        this.#see({ kind: 'whole', atMs: clockMs(), request: name, status: reply.statusCode, sum: digest(text) })
        const waits = this.waits.get(course.service) ?? []
        this.waits.set(course.service, waits)
        waits.push(clockMs() - askedMs)
      } else
        this.#see({
          kind: 'turnedAway',
          atMs: clockMs(),
          request: name,
          status: reply.statusCode,
          verdict: Object.values(Verdict).find((one) => one === verdict),
          retryAfter: reply.headers['retry-after'] !== undefined,
          wokeMs: 0,
          why: text.slice(0, 200),
        })
    } catch (error) {
      const why = error instanceof Error ? error.message.replace(/\d+\.\d+\.\d+\.\d+:\d+/g, 'a proxy') : String(error)
      this.#see(headed ? { kind: 'brokenOff', atMs: clockMs(), request: name } : { kind: 'left', atMs: clockMs(), request: name, why })
    } finally {
      this.#underWay -= 1
    }
  }
}
