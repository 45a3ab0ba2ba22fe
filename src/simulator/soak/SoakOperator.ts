/**
 * The operator of a soak: changes the configuration every few seconds, repeats a change that got no clear answer,
 * unchanged and at any node, and reads back what is in force.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { Agent, Client, request } from 'undici'
import { clockMs } from '../../common/clockMs.js'
import { Random } from '../../common/Random.js'
import type { SoakChange } from './SoakChange.js'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSeat } from './SoakSeat.js'

const silenceMs = 1000
const firstPauseMs = 100
const mostPauseMs = 1000
const betweenChangesMs = 2500
const betweenReadingsMs = 1500
const largestStep = 3
const redirectsMost = 2
/** Statuses after which a call is not sent again. */
const finals: ReadonlySet<number> = new Set([400, 409, 412, 413, 422])

interface Said {
  status: number
  text: string
  location: string
}

export class SoakOperator {
  /** Whether the answers to changes are lost on their way. */
  losesAnswers = false
  readonly #dialect: SoakDialect
  readonly #log: SoakLog
  readonly #seats: readonly SoakSeat[]
  readonly #random: Random
  /** What is read back is asked for on connections that are kept until a node closes them. */
  readonly #kept = new Agent({ connections: 1, pipelining: 1, connect: { timeout: silenceMs } })
  #revision = 0
  #over = false

  constructor(seed: number, seats: readonly SoakSeat[], dialect: SoakDialect, log: SoakLog) {
    this.#random = new Random(seed)
    this.#seats = seats
    this.#dialect = dialect
    this.#log = log
  }

  /** The newest revision that was acknowledged. */
  get revision(): number {
    return this.#revision
  }

  /** Sends the next configuration until it is taken, refused, or `untilMs` has come. */
  async change(untilMs: number): Promise<void> {
    const base = this.#revision
    const revision = base + 1 + this.#random.below(largestStep)
    const text = this.#dialect.configuration(SoakScene.network(revision))
    const change: SoakChange = { revision, text, sentMs: clockMs(), acknowledgedMs: undefined, taken: false, refused: undefined }
    this.#log.changes.push(change)
    let pauseMs = firstPauseMs
    while (clockMs() < untilMs) {
      const said = await this.#call('PUT', text, String(base))
      if (said !== undefined && said.status >= 200 && said.status < 300) {
        change.taken = true
        if (!this.losesAnswers) {
          change.acknowledgedMs = clockMs()
          this.#revision = revision
          return
        }
      } else if (said !== undefined && finals.has(said.status)) {
        change.refused = said.status
        return
      }
      await pause(pauseMs)
      pauseMs = Math.min(mostPauseMs, 2 * pauseMs)
    }
  }

  /** Changes and reads until it is stopped. A change without an end stays the last one. */
  async run(untilMs: number): Promise<void> {
    const reading = this.#readings()
    while (!this.#over && clockMs() < untilMs) {
      await pause(betweenChangesMs)
      const last = this.#log.changes.at(-1)
      if (!this.#over && clockMs() < untilMs && last?.acknowledgedMs !== undefined) await this.change(untilMs)
    }
    this.#over = true
    await reading
  }

  stop(): void {
    this.#over = true
    void this.#kept.destroy().catch(() => undefined)
  }

  /** Reads back, again and again, until some node is sure of what is in force. */
  async readBack(waitMs: number): Promise<void> {
    const untilMs = clockMs() + waitMs
    while (clockMs() < untilMs) {
      if (await this.#read(true)) return
      await pause(firstPauseMs)
    }
  }

  async #readings(): Promise<void> {
    while (!this.#over) {
      await pause(betweenReadingsMs)
      await this.#read(false)
    }
  }

  async #read(final: boolean): Promise<boolean> {
    const askedMs = clockMs()
    const said = await this.#call('GET', undefined, undefined)
    if (said?.status !== 200) return false
    this.#log.readings.push({ askedMs, text: said.text, revision: this.#dialect.revision(said.text), final })
    return true
  }

  async #call(method: 'GET' | 'PUT', body: string | undefined, match: string | undefined): Promise<Said | undefined> {
    const seat = this.#random.pick(this.#seats)
    let address = `${seat?.ip ?? ''}:${String(this.#dialect.ports.operators)}`
    for (let turn = 0; turn <= redirectsMost; turn++) {
      const said = await this.#once(address, method, body, match)
      if (said?.status !== 307) return said
      address = new URL(said.location).host
    }
    return undefined
  }

  async #once(address: string, method: 'GET' | 'PUT', body: string | undefined, match: string | undefined): Promise<Said | undefined> {
    const client = method === 'GET' ? undefined : new Client(`http://${address}`, { connect: { timeout: silenceMs } })
    try {
      const reply = await request(`http://${address}${this.#dialect.paths.configuration}`, {
        dispatcher: client ?? this.#kept,
        method,
        headers: { ...(match === undefined ? {} : { 'if-match': match }), 'content-type': 'application/json' },
        body: body ?? null,
        signal: AbortSignal.timeout(silenceMs),
      })
      const text = await reply.body.text()
      const { location } = reply.headers
      return { status: reply.statusCode, text, location: typeof location === 'string' ? location : '' }
    } catch {
      return undefined
    } finally {
      void client?.destroy().catch(() => undefined)
    }
  }
}
