/**
 * A server for tests that reads requests off raw sockets and answers, byte by byte, as its script says.
 */
import { createServer, type Server as Listener, type Socket } from 'node:net'
import { OwnLoopback } from '../../common/testing/OwnLoopback.js'

interface Heard {
  line: string
  headers: Record<string, string>
  body: string
}
type Script = (heard: Heard, socket: Socket, run: number) => void

export class RawServer {
  readonly heard: Heard[] = []
  connections = 0
  readonly #script: Script
  readonly #sockets = new Set<Socket>()
  readonly #listener: Listener

  constructor(script: Script) {
    this.#script = script
    this.#listener = createServer((socket) => {
      this.connections += 1
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
      socket.on('error', () => socket.destroy())
      let rest = ''
      socket.on('data', (chunk) => {
        rest = this.#take(rest + chunk.toString('latin1'), socket)
      })
    })
  }

  open(): Promise<string> {
    return OwnLoopback.listen(this.#listener)
  }

  close(): void {
    this.#listener.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #take(text: string, socket: Socket): string {
    const end = text.indexOf('\r\n\r\n')
    if (end < 0) return text
    const [line = '', ...lines] = text.slice(0, end).split('\r\n')
    const headers = Object.fromEntries(
      lines.map((one) => [one.slice(0, one.indexOf(':')).toLowerCase(), one.slice(one.indexOf(':') + 1).trim()]),
    )
    const whole = end + 4 + Number(headers['content-length'] ?? 0)
    if (text.length < whole) return text
    const heard = { line, headers, body: text.slice(end + 4, whole) }
    this.heard.push(heard)
    this.#script(heard, socket, this.heard.length)
    return this.#take(text.slice(whole), socket)
  }
}
