/**
 * The transport over TCP. Each process listens on one address and keeps one outgoing line to each
 * address that it writes to, so a cut in one direction stays one-way. A line that can't be opened or
 * is backed up past a limit drops what it is given: every protocol above repeats itself.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import type { Logger } from '../common/Logger.js'
import { Frame } from './Frame.js'
import type { Message } from './Message.js'
import type { Transport } from './Transport.js'

const backlogBytes = 16 * 1024 * 1024

export class TcpTransport implements Transport {
  readonly address: string
  readonly #name: string
  readonly #server: Server
  readonly #lines = new Map<string, Socket>()
  readonly #inward = new Set<Socket>()
  readonly #listeners: ((from: string, fromAddress: string, message: Message) => void)[] = []
  #closed = false

  private constructor(name: string, address: string, server: Server, logger: Logger | undefined) {
    this.#name = name
    this.address = address
    this.#server = server
    server.on('connection', (socket) => {
      const frame = new Frame()
      let told = false
      this.#inward.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('close', () => this.#inward.delete(socket))
      socket.on('data', (chunk) => {
        const read = frame.read(chunk)
        if (typeof read === 'string') {
          logger?.warn('transport', `Closed a line from ${String(socket.remoteAddress)}: ${read}.`)
          socket.destroy()
          return
        }
        if (frame.passedBy > 0 && !told) {
          told = true
          logger?.warn('transport', 'Passes by messages of a kind that this version does not know.')
        }
        for (const one of read) for (const listener of this.#listeners) listener(one.from, one.fromAddress, one.message)
      })
    })
  }

  static async open(name: string, address: string, logger?: Logger): Promise<TcpTransport> {
    const cut = address.lastIndexOf(':')
    const host = address.slice(0, cut).replace(/^\[|\]$/g, '')
    const server = createServer()
    server.listen(Number(address.slice(cut + 1)), host)
    await once(server, 'listening')
    const bound = server.address()
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0
    return new TcpTransport(name, `${address.slice(0, cut)}:${String(port)}`, server, logger)
  }

  hear(listener: (from: string, fromAddress: string, message: Message) => void): void {
    this.#listeners.push(listener)
  }

  send(toAddress: string, message: Message): void {
    if (this.#closed) return
    const line = this.#lines.get(toAddress) ?? this.#dial(toAddress)
    if (line.writableLength < backlogBytes) line.write(Frame.write(this.#name, this.address, message))
  }

  #dial(toAddress: string): Socket {
    const cut = toAddress.lastIndexOf(':')
    const line = connect({ host: toAddress.slice(0, cut).replace(/^\[|\]$/g, ''), port: Number(toAddress.slice(cut + 1)), noDelay: true })
    this.#lines.set(toAddress, line)
    const gone = () => {
      if (this.#lines.get(toAddress) === line) this.#lines.delete(toAddress)
      line.destroy()
    }
    line.on('error', gone)
    line.on('close', gone)
    line.on('end', gone)
    line.resume()
    return line
  }

  async close(): Promise<void> {
    this.#closed = true
    for (const socket of [...this.#lines.values(), ...this.#inward]) socket.destroy()
    this.#server.close()
    await once(this.#server, 'close')
  }
}
