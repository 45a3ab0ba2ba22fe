/**
 * The callers' connections with the requests that are open on each, so that a connection is only closed
 * when nobody waits for an answer on it, and nothing is written to it but answers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'

/** A request without its whole answer. */
interface OpenRequest {
  readonly request: IncomingMessage
  /** What is to be done when its caller leaves. */
  leave: () => void
}

interface Connection {
  /** In the order of their requests. */
  readonly open: Map<ServerResponse, OpenRequest>
  /** What had been read when the last answer was done; undefined before the first. */
  restedBytes: number | undefined
  /** True once it was found with nobody waiting on it since its last request. */
  foundRested: boolean
}

export class CallerConnections {
  readonly #connections = new Map<Duplex, Connection>()

  add(socket: Socket): void {
    const connection: Connection = { open: new Map(), restedBytes: undefined, foundRested: false }
    this.#connections.set(socket, connection)
    socket.once('close', () => {
      this.#connections.delete(socket)
      for (const one of connection.open.values()) one.leave()
    })
  }

  /** Counts a request as open until its answer is done or its caller gone. */
  open(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.open.set(response, { request, leave: () => undefined })
    connection.foundRested = false
    response.once('close', () => {
      connection.open.delete(response)
      if (connection.open.size === 0) connection.restedBytes = socket.bytesRead
    })
  }

  onLeave(request: IncomingMessage, response: ServerResponse, leave: () => void): void {
    const one = this.#connections.get(request.socket)?.open.get(response)
    if (one !== undefined) one.leave = leave
  }

  /** Gives up the request of which the rest can no longer come; it gets no answer, those before it do. */
  dropIncomplete(socket: Duplex): void {
    const open = this.#connections.get(socket)?.open ?? new Map<ServerResponse, OpenRequest>()
    for (const [response, { request, leave }] of open) {
      if (request.complete) continue
      open.delete(response)
      leave()
    }
  }

  isBusy(socket: Duplex): boolean {
    return (this.#connections.get(socket)?.open.size ?? 0) > 0
  }

  /** Lets the newest answer of each connection be its last; those before it must not end the connection. */
  endAfterOpen(): void {
    for (const { open } of this.#connections.values()) CallerConnections.#endAfter(open)
  }

  endAfter(socket: Duplex): void {
    const connection = this.#connections.get(socket)
    if (connection !== undefined) CallerConnections.#endAfter(connection.open)
  }

  /** True if the caller has the head of an answer that says that it is the last on this connection. */
  isEnding(socket: Duplex): boolean {
    const open = this.#connections.get(socket)?.open.keys() ?? []
    return [...open].some((response) => response.headersSent && response.getHeader('connection') === 'close')
  }

  /**
   * Closes the connections on which an answer was given, none is waited for and no request has begun to come. A caller that sends
   * its next request at once is not cut: a connection is closed only when it is found so for the second time in a row.
   */
  closeRested(): void {
    for (const [socket, connection] of this.#connections) {
      if (!CallerConnections.#isRested(socket, connection)) continue
      if (connection.foundRested) socket.destroy()
      connection.foundRested = true
    }
  }

  static #isRested(socket: Duplex, { open, restedBytes }: Connection): boolean {
    return open.size === 0 && restedBytes !== undefined && 'bytesRead' in socket && socket.bytesRead === restedBytes
  }

  static #endAfter(open: Connection['open']): void {
    const responses = [...open.keys()].filter((response) => !response.headersSent)
    for (const [at, response] of responses.entries())
      if (at === responses.length - 1) response.setHeader('connection', 'close')
      else response.removeHeader('connection')
  }
}
