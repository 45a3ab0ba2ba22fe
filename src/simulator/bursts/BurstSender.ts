/**
 * Sends the messages of a burst in a platform's formats, each on a connection of its own, and tells how each was answered.
 */
import { request } from 'node:http'
import { connect } from 'node:net'
import { once } from 'node:events'
import { setTimeout as pause } from 'node:timers/promises'
import type { SoakDialect } from '../soak/SoakDialect.js'
import { SoakScene } from '../soak/SoakScene.js'
import type { SoakSeat } from '../soak/SoakSeat.js'

const route = 'check'
const waitMs = 10_000
const writtenAtATime = 65_536
const firstLine = /^HTTP\/1\.1 (\d{3}) /

export class BurstSender {
  readonly #dialect: SoakDialect
  #sent = 0

  constructor(dialect: SoakDialect) {
    this.#dialect = dialect
  }

  /** A request whose last byte comes `lateMs` after the others. */
  body(gateway: SoakSeat, bytes: number, lateMs: number): Promise<number> {
    return this.#request(gateway, `/${route}/`, { 'content-length': String(bytes) }, async (write) => {
      await write(Buffer.alloc(bytes - 1, 'x'))
      await pause(lateMs)
      await write(Buffer.from('x'))
    })
  }

  /** A request whose body comes in chunks of this many bytes. */
  pieces(gateway: SoakSeat, bytes: number, pieceBytes: number): Promise<number> {
    const piece = `${pieceBytes.toString(16)}\r\n${'x'.repeat(pieceBytes)}\r\n`
    const together = Math.max(1, Math.floor(writtenAtATime / piece.length))
    return this.#request(gateway, `/${route}/`, { 'transfer-encoding': 'chunked' }, async (write) => {
      for (let left = Math.floor(bytes / pieceBytes); left > 0; left -= together)
        await write(Buffer.from(piece.repeat(Math.min(left, together))))
      await write(Buffer.from('0\r\n\r\n'))
    })
  }

  /** A small request on no route, which the gateway answers itself, with 404. */
  probe(gateway: SoakSeat): Promise<number> {
    return this.#request(gateway, '/nowhere', { 'content-length': '0' }, () => Promise.resolve())
  }

  /** A change of the whole configuration that builds on a revision. */
  async change(control: SoakSeat, base: number, text: string): Promise<number> {
    const url = `http://${control.ip}:${String(this.#dialect.ports.operators)}${this.#dialect.paths.configuration}`
    const headers = { 'if-match': String(base), 'content-length': Buffer.byteLength(text) }
    return new Promise((resolve) => {
      let status = 0
      const sent = request(url, { method: 'PUT', headers, agent: false, timeout: waitMs }, (answer) => {
        status = answer.statusCode ?? 0
        answer.resume()
      })
      sent.once('timeout', () => sent.destroy())
      sent.once('error', () => undefined)
      sent.once('close', () => {
        resolve(status)
      })
      sent.end(text)
    })
  }

  /** The text of a configuration with so many routes beside those of the scene. */
  configuration(revision: number, routes: number): string {
    const network = SoakScene.network(revision)
    const [one] = network.routes
    const more =
      one === undefined
        ? []
        : Array.from({ length: routes }, (_, at) => ({ ...one, name: `more-${String(at)}`, prefix: `/more-${String(at)}/` }))
    return this.#dialect.configuration({ ...network, routes: [...network.routes, ...more] })
  }

  async #request(
    gateway: SoakSeat,
    path: string,
    headers: Record<string, string>,
    writeBody: (write: (bytes: Buffer) => Promise<void>) => Promise<void>,
  ): Promise<number> {
    this.#sent += 1
    const id = `u${String(this.#sent)}`
    const told = {
      host: SoakScene.host,
      ...this.#dialect.requestHead({ id, model: '', adapter: '', dueMs: waitMs, resumeAfter: 0 }),
      ...headers,
    }
    const lines = Object.entries(told).map(([name, value]) => `${name}: ${value}\r\n`)
    const socket = connect(this.#dialect.ports.callers, gateway.ip)
    let text = ''
    socket.setEncoding('latin1')
    socket.on('data', (part) => (text += String(part)))
    socket.on('error', () => undefined)
    socket.setTimeout(waitMs, () => socket.destroy())
    const closed = once(socket, 'close')
    const write = async (bytes: Buffer) => {
      if (!socket.destroyed && !socket.write(bytes)) await Promise.race([once(socket, 'drain'), closed])
    }
    await write(Buffer.from(`POST ${path}${id} HTTP/1.1\r\n${lines.join('')}\r\n`))
    await writeBody(write)
    while (!socket.destroyed && !firstLine.test(text)) await pause(2)
    socket.destroy()
    return Number(firstLine.exec(text)?.[1] ?? 0)
  }
}
