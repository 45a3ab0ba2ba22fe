/**
 * Clients of a soak whose bodies take seconds to come, a piece at a time, so that many a stop finds them half read. A try is noted
 * once its last byte was sent: before that no process can have read the whole request.
 */
import { Agent, request, type ClientRequest } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../../common/clockMs.js'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSeat } from './SoakSeat.js'
import type { SoakTry } from './SoakTry.js'
import { readAnswer } from './readAnswer.js'

const route = 'check'
/** Numbers of asks that no other client uses. */
const firstAsk = 2_000_000
const slowly: BodyShape = { pieces: 8, pieceBytes: 512, pieceMs: 300 }
/** How long a client waits beyond its deadline, and before its next request. */
const slackMs = 500
const betweenMs = 200

/** How a body comes: a piece at a time, with a pause after each. */
interface BodyShape {
  pieces: number
  pieceBytes: number
  pieceMs: number
}

export class SoakSlowClients {
  readonly #dialect: SoakDialect
  readonly #log: SoakLog
  readonly #pick: () => SoakSeat | undefined
  readonly #shape: BodyShape
  readonly #piece: Buffer
  #asks: number

  /** `pick` chooses among the gateways that are ready. */
  constructor(dialect: SoakDialect, log: SoakLog, pick: () => SoakSeat | undefined, shape = slowly, asksFrom = firstAsk) {
    this.#shape = shape
    this.#piece = Buffer.alloc(shape.pieceBytes, 'x')
    this.#asks = asksFrom
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
      if (seat !== undefined) await this.send(seat)
      await pause(betweenMs)
    }
  }

  /** Sends one request, and resolves at its end. */
  send(seat: SoakSeat): Promise<void> {
    this.#asks += 1
    const id = `b${String(this.#asks)}`
    const seen: SoakTry = {
      id,
      ask: this.#asks,
      route,
      model: '',
      adapter: '',
      gateway: seat.name,
      reused: false,
      dueMs: SoakScene.dueMs,
      sentMs: Infinity,
      endMs: 0,
      status: 0,
      seal: '',
      answeredId: '',
      body: '',
      whole: false,
      why: '',
    }
    const head = this.#dialect.requestHead({ id, model: '', adapter: '', dueMs: SoakScene.dueMs, resumeAfter: 0 })
    const agent = new Agent()
    return new Promise((resolve) => {
      const sent = request(
        `http://${seat.ip}:${String(this.#dialect.ports.callers)}/${route}/${id}`,
        { agent, method: 'POST', headers: { host: SoakScene.host, ...head, 'content-length': this.#shape.pieces * this.#piece.length } },
        (answer) => {
          readAnswer(this.#dialect, seen, answer)
        },
      )
      const timer = setTimeout(() => sent.destroy(new Error('the client left')), SoakScene.dueMs + slackMs)
      sent.once('error', (error) => {
        seen.why = error.message
      })
      sent.once('close', () => {
        clearTimeout(timer)
        seen.endMs = clockMs()
        agent.destroy()
        resolve()
      })
      void this.#writeSlowly(sent, seen)
    })
  }

  async #writeSlowly(sent: ClientRequest, seen: SoakTry): Promise<void> {
    for (let at = 1; at < this.#shape.pieces; at++) {
      if (sent.destroyed) return
      sent.write(this.#piece)
      await pause(this.#shape.pieceMs)
    }
    if (sent.destroyed) return
    sent.end(this.#piece, () => {
      seen.sentMs = clockMs()
      this.#log.tries.push(seen)
    })
  }
}
