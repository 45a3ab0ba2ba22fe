/**
 * The end of an HTTP server that keeps what it has promised: from the start of the drain each answer is the last on its connection,
 * so that callers go elsewhere; its close takes nobody new, waits for the answers under way and closes what rests.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { CallerConnections } from './CallerConnections.js'

const sweepMs = 50

export class ServerDrain {
  readonly #server: Server
  readonly #connections = new CallerConnections()
  #draining = false
  #closing = false

  constructor(server: Server) {
    this.#server = server
    server.on('connection', (socket: Socket) => {
      this.#connections.add(socket)
    })
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      this.#connections.open(request, response)
      if (this.#draining) this.#connections.endAfter(request.socket)
    })
  }

  /** True once requests are to be refused. */
  get isClosing(): boolean {
    return this.#closing
  }

  begin(): void {
    this.#draining = true
    this.#connections.endAfterOpen()
  }

  /** Resolves when all connections are closed; those that are still open after `withinMs` milliseconds are cut. */
  async close(withinMs: number): Promise<void> {
    this.begin()
    this.#closing = true
    const closed = new Promise<void>((resolve) => {
      // The HTTP server's own way of closing also cuts answers that have ended but are not yet sent.
      NetServer.prototype.close.call(this.#server, () => {
        resolve()
      })
    })
    const sweep = setInterval(() => {
      this.#connections.closeRested()
    }, sweepMs)
    await Promise.race([closed, pause(withinMs)])
    clearInterval(sweep)
    this.#server.closeAllConnections()
  }
}
