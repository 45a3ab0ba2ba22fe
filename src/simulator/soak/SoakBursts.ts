/**
 * Bursts of large messages in a soak, each of them within the limits of the configuration: bodies at one gateway, whose last bytes come
 * late, and changes of the configuration at one control node, on a revision that is no longer the current one.
 */
import { request } from 'node:http'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSeat } from './SoakSeat.js'
import { SoakSlowClients } from './SoakSlowClients.js'

/** Numbers of asks that no other client uses. */
const firstAsk = 3_000_000
const bodies = 60
/** Four pieces of a megabyte, the last of which comes after a second and a half. */
const bodyShape = { pieces: 4, pieceBytes: 1_000_000, pieceMs: 500 }
const changes = 40
/** Routes that make a change of about a megabyte. */
const routesAChange = 4000
const waitMs = 10_000

export class SoakBursts {
  readonly #dialect: SoakDialect
  readonly #log: SoakLog
  readonly #bodies: SoakSlowClients

  constructor(dialect: SoakDialect, log: SoakLog) {
    this.#dialect = dialect
    this.#log = log
    this.#bodies = new SoakSlowClients(dialect, log, () => undefined, bodyShape, firstAsk)
  }

  /** Resolves when each has its answer. */
  async sendBodies(gateway: SoakSeat): Promise<void> {
    await Promise.all(Array.from({ length: bodies }, () => this.#bodies.send(gateway)))
  }

  /** Resolves when each has its answer. */
  async sendChanges(control: SoakSeat): Promise<void> {
    // The first revision is the newest no longer, so none of these can be taken.
    const base = this.#log.changes[0]?.revision ?? 0
    const network = SoakScene.network(base + 1)
    const [route] = network.routes
    if (route === undefined || this.#log.changes.length < 2) return
    const routes = Array.from({ length: routesAChange }, (_, at) => ({
      ...route,
      name: `burst-${String(at)}`,
      prefix: `/burst-${String(at)}/`,
    }))
    const text = this.#dialect.configuration({ ...network, routes })
    await Promise.all(Array.from({ length: changes }, (_, at) => this.#change(control, base, `${text}${' '.repeat(at)}`)))
  }

  #change(control: SoakSeat, base: number, text: string): Promise<void> {
    const url = `http://${control.ip}:${String(this.#dialect.ports.operators)}${this.#dialect.paths.configuration}`
    const headers = { 'if-match': String(base), 'content-length': Buffer.byteLength(text) }
    return new Promise((resolve) => {
      const sent = request(url, { method: 'PUT', headers, agent: false, timeout: waitMs }, (answer) => {
        this.#log.staleAnswers.push(answer.statusCode ?? 0)
        answer.resume()
      })
      sent.once('timeout', () => sent.destroy())
      sent.once('error', () => undefined)
      sent.once('close', resolve)
      sent.end(text)
    })
  }
}
