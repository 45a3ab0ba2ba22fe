/**
 * The admission of an HTTP server: how many connections it has, how many requests are under way on each and over all, how much a turn
 * of the event loop reads, and whether bodies go on. Owners of a server read bodies here and have no checks of their own beside it.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { MemoryReservation } from '../MemoryReservation.js'
import type { BodyOutcome } from './BodyOutcome.js'
import { discardInput } from './discardInput.js'
import type { GarbagePacer } from './GarbagePacer.js'
import type { BodyLimits } from './BodyLimits.js'
import { IncomingBodies } from './IncomingBodies.js'
import { ReadTurns } from './ReadTurns.js'
import { RestingOrder } from './RestingOrder.js'
import { SocketHold } from './SocketHold.js'
import type { TurnReader } from './TurnReader.js'

/** Requests of one connection that are begun at a time; those behind them wait, and meanwhile the connection isn't read. */
const openPerConnection = 16

/** The work of a request that comes before the one ahead of it has its answer, in pieces of a body. */
const pipelinedWork = 40

/** What a piece of a body takes besides its bytes. */
const pieceOverheadBytes = 2048

/** Refused connections at a time that are read on until their answer can go out. */
const mostDiscarding = 16

interface DoorLimits {
  /** The most connections. */
  readonly connections: number
  /** The most requests under way, over all connections. */
  readonly openRequests: number
  /** The most requests that wait for earlier ones on their connection, over all connections. */
  readonly waitingRequests: number
}

interface Owner {
  readonly serve: (request: IncomingMessage, response: ServerResponse) => void
  /** Answers a request that can't be taken on now. */
  readonly refuse: (request: IncomingMessage, response: ServerResponse) => void
}

interface Connection extends TurnReader {
  readonly socket: Socket
  /** Requests that have begun and have no answer. */
  open: number
  /** What begins the requests that wait for these. */
  waiting: (() => void)[]
}

/** What a door has under way and has refused. */
interface DoorFigures {
  connections: number
  openRequests: number
  waitingRequests: number
  closedForConnections: number
  closedForRequests: number
  refusedRequests: number
  bodiesUnderWay: number
  holdUps: number
}

export class HttpDoor {
  readonly #limits: DoorLimits
  readonly #garbage: GarbagePacer
  readonly #owner: Owner
  readonly #connections = new Map<Socket, Connection>()
  readonly #order: RestingOrder<Connection>
  readonly #turns: ReadTurns
  readonly #bodies: IncomingBodies
  #discarding = 0
  #open = 0
  #waiting = 0
  readonly #counts = { closedForConnections: 0, closedForRequests: 0, refusedRequests: 0 }

  constructor(server: Server, limits: DoorLimits, garbage: GarbagePacer, owner: Owner) {
    this.#limits = limits
    this.#garbage = garbage
    this.#owner = owner
    this.#order = new RestingOrder(limits.connections)
    this.#turns = new ReadTurns(() => this.#order.all)
    this.#bodies = new IncomingBodies((request, bytes, isCostly) => {
      this.#pieceCame(request, bytes, isCostly)
    })
    server.on('connection', (socket: Socket) => {
      this.#accept(socket)
    })
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.#take(request, response)
    })
  }

  get figures(): DoorFigures {
    return {
      connections: this.#order.size,
      openRequests: this.#open,
      waitingRequests: this.#waiting,
      bodiesUnderWay: this.#bodies.size,
      holdUps: this.#turns.holdUps,
      ...this.#counts,
    }
  }

  /**
   * Reads a body. Where it is not whole, the rest is dropped first, for a bounded time, so that the answer isn't lost to a reset; then
   * the connection ends with the answer.
   */
  async readBody(request: IncomingMessage, response: ServerResponse, limits: BodyLimits, memory: MemoryReservation): Promise<BodyOutcome> {
    const body = this.#bodies.read(request, limits, memory)
    if ((body.restBytes ?? 0) > limits.bytes) body.refuse({ kind: 'tooLong' })
    const outcome = await body.outcome
    if (outcome.kind === 'whole') this.#countReleased(response, outcome.bytes.length)
    if (outcome.kind === 'whole' || outcome.kind === 'gone') return outcome
    if (!response.headersSent) response.shouldKeepAlive = false
    await this.#discard(request.socket, body.restBytes)
    return outcome
  }

  /** Only few wait for the rest of what they refused; in a crowd an answer may be lost to a reset. */
  async #discard(socket: Socket, restBytes: number | undefined): Promise<void> {
    if (this.#discarding >= mostDiscarding) {
      this.#connections.get(socket)?.hold.hold()
      return
    }
    this.#discarding += 1
    await discardInput(socket, this.#garbage, restBytes)
    this.#discarding -= 1
  }

  #accept(socket: Socket): void {
    const connection: Connection = {
      socket,
      hold: new SocketHold(socket),
      isCostly: false,
      open: 0,
      waiting: [],
      get isBlocked() {
        return this.waiting.length > 0
      },
    }
    this.#connections.set(socket, connection)
    socket.once('close', () => {
      this.#forget(connection)
    })
    const closed = this.#order.add(connection)
    if (closed === undefined) return
    this.#counts.closedForConnections += 1
    closed.socket.destroy()
  }

  #forget(connection: Connection): void {
    this.#connections.delete(connection.socket)
    this.#order.delete(connection)
    this.#turns.delete(connection)
    this.#waiting -= connection.waiting.length
    this.#open -= connection.open
    connection.waiting = []
    connection.open = 0
  }

  #take(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket)
    if (connection === undefined || request.socket.destroyed) return
    this.#order.begin(connection)
    if (connection.open > 0) this.#turns.count(pipelinedWork)
    if (connection.open < openPerConnection && connection.waiting.length === 0) this.#begin(connection, request, response)
    else if (this.#waiting < this.#limits.waitingRequests) this.#wait(connection, request, response)
    else {
      this.#counts.closedForRequests += 1
      request.socket.destroy()
    }
  }

  #wait(connection: Connection, request: IncomingMessage, response: ServerResponse): void {
    this.#waiting += 1
    connection.waiting.push(() => {
      this.#begin(connection, request, response)
    })
    connection.hold.hold()
  }

  #begin(connection: Connection, request: IncomingMessage, response: ServerResponse): void {
    connection.open += 1
    this.#open += 1
    response.once('close', () => {
      this.#end(connection)
    })
    if (this.#open <= this.#limits.openRequests) this.#owner.serve(request, response)
    else {
      this.#counts.refusedRequests += 1
      this.#owner.refuse(request, response)
    }
  }

  #end(connection: Connection): void {
    if (!this.#connections.has(connection.socket)) return
    connection.open -= 1
    this.#open -= 1
    const next = connection.waiting.shift()
    if (next !== undefined) {
      this.#waiting -= 1
      if (connection.waiting.length === 0) connection.hold.release()
      next()
    } else if (connection.open === 0) {
      connection.isCostly = false
      this.#order.rest(connection)
    }
  }

  #pieceCame(request: IncomingMessage, bytes: number, isCostly: boolean): void {
    this.#garbage.arrived(bytes + pieceOverheadBytes)
    const connection = this.#connections.get(request.socket)
    if (connection !== undefined) connection.isCostly = isCostly
    this.#turns.count(1)
  }

  /** What a body took is garbage once its answer is done. */
  #countReleased(response: ServerResponse, bytes: number): void {
    response.once('close', () => {
      this.#garbage.released(bytes)
    })
  }
}
