/**
 * Clients of a soak that keep their connection until they are told to leave it or it is gone: each sends its next request as soon
 * as the last answer has ended. Their answers are streams that last for seconds, so that their heads are out before many a stop.
 */
import { Agent, request } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../../common/clockMs.js'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSeat } from './SoakSeat.js'
import type { SoakTry } from './SoakTry.js'
import { readAnswer } from './readAnswer.js'

const route = 'scroll'
/** Numbers of asks that no other client uses. */
const firstAsk = 1_000_000
/** How long a client waits beyond its deadline, and before it comes back after a failure. */
const slackMs = 500
const betweenMs = 100

export class SoakKeptClients {
  readonly #dialect: SoakDialect
  readonly #log: SoakLog
  readonly #pick: () => SoakSeat | undefined
  #asks = firstAsk

  /** `pick` chooses among the gateways that are ready. */
  constructor(dialect: SoakDialect, log: SoakLog, pick: () => SoakSeat | undefined) {
    this.#dialect = dialect
    this.#log = log
    this.#pick = pick
  }

  async run(clients: number, untilMs: number): Promise<void> {
    await Promise.all(Array.from({ length: clients }, (_, at) => this.#client(at * betweenMs, untilMs)))
  }

  async #client(offsetMs: number, untilMs: number): Promise<void> {
    await pause(offsetMs)
    while (clockMs() < untilMs) {
      const seat = this.#pick()
      if (seat !== undefined) await this.#useConnection(seat, untilMs)
      await pause(betweenMs)
    }
  }

  /** Sends one request after the other on one connection. */
  async #useConnection(seat: SoakSeat, untilMs: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    let mayStay = true
    while (mayStay && clockMs() < untilMs) mayStay = await this.#send(agent, seat)
    agent.destroy()
  }

  /** One request; gives whether its client may send the next on the same connection. */
  #send(agent: Agent, seat: SoakSeat): Promise<boolean> {
    const seen = this.#seen(seat)
    this.#log.tries.push(seen)
    const { id } = seen
    const head = this.#dialect.requestHead({ id, model: '', adapter: '', dueMs: SoakScene.scrollDueMs, resumeAfter: 0 })
    return new Promise((resolve) => {
      let mayStay = false
      const sent = request(
        `http://${seat.ip}:${String(this.#dialect.ports.callers)}/${route}/${id}`,
        { agent, method: 'POST', headers: { host: SoakScene.host, ...head, 'content-length': Buffer.byteLength(id) } },
        (answer) => {
          readAnswer(this.#dialect, seen, answer)
          answer.once('end', () => {
            mayStay = answer.headers.connection !== 'close'
          })
        },
      )
      const timer = setTimeout(() => sent.destroy(new Error('the client left')), SoakScene.scrollDueMs + slackMs)
      sent.once('error', (error) => {
        seen.why = error.message
      })
      sent.once('close', () => {
        clearTimeout(timer)
        seen.endMs = clockMs()
        resolve(mayStay)
      })
      sent.end(id, () => {
        seen.reused = sent.reusedSocket
      })
    })
  }

  #seen(seat: SoakSeat): SoakTry {
    this.#asks += 1
    return {
      id: `k${String(this.#asks)}`,
      ask: this.#asks,
      route,
      model: '',
      adapter: '',
      gateway: seat.name,
      reused: false,
      dueMs: SoakScene.scrollDueMs,
      sentMs: clockMs(),
      endMs: 0,
      status: 0,
      seal: '',
      answeredId: '',
      body: '',
      whole: false,
      why: '',
    }
  }
}
