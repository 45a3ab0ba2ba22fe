/**
 * The transport over TCP. Each process listens on one address and keeps one outgoing connection to
 * each address that it writes to, so a cut in one direction stays one-way. A connection that can't be
 * made, is silent about what it was sent, or is backed up past a limit drops what it is given: every
 * protocol above repeats itself. `docs/notes/transport.md` tells why this suffices.
 */
import { createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { clockMs } from '../common/clockMs.js'
import type { GarbagePacer } from '../common/admission/GarbagePacer.js'
import { RestingOrder } from '../common/admission/RestingOrder.js'
import { listenOn } from '../common/listenOn.js'
import type { Logger } from '../common/Logger.js'
import { StartWait } from '../common/StartWait.js'
import { Frame } from './Frame.js'
import { IncomingConnection } from './IncomingConnection.js'
import type { Message } from './Message.js'
import { OutgoingConnection } from './OutgoingConnection.js'
import type { Transport } from './Transport.js'
import { Strangers } from './Strangers.js'
import type { TransportAdmission } from './TransportAdmission.js'
import type { TransportTimings } from './TransportTimings.js'

type Listener = (from: string, fromAddress: string, message: Message) => void
/** Acknowledgements go out that often within the dead time, at most. */
const roundsPerDeadTime = 2
/** An incoming connection is closed after so many dead times of silence; its sender, if it is idle, ends it before. */
const silentDeadTimes = 2
/** A round that comes later than this shows that this process itself stood still. */
const lateRound = 1.5

export class TcpTransport implements Transport {
  readonly address: string
  cluster = ''
  readonly #name: string
  readonly #server: Server
  readonly #timings: TransportTimings
  readonly #logger: Logger | undefined
  readonly #outgoing = new Map<string, OutgoingConnection>()
  readonly #dialledMs = new Map<string, number>()
  readonly #incoming: RestingOrder<IncomingConnection>
  readonly #strangers: Strangers
  readonly #garbage: GarbagePacer | undefined
  /** The newest connection of each process that spoke. */
  readonly #newest = new Map<string, IncomingConnection>()
  readonly #listeners: Listener[] = []
  readonly #rounds: NodeJS.Timeout
  readonly #roundMs: number
  readonly #silentMs: number
  #roundAtMs = clockMs()
  /** Silence counts from here: before, this process may itself have stood still. */
  #attentiveFromMs = clockMs()
  readonly #counts = { malformed: 0, unknownKind: 0, foreign: 0, crowded: 0, resets: 0, backedUp: 0 }
  #accepted = 0
  #closed = false

  private constructor(
    name: string,
    address: string,
    server: Server,
    timings: TransportTimings,
    logger: Logger | undefined,
    admission: TransportAdmission | undefined,
  ) {
    this.#incoming = new RestingOrder(admission?.connections ?? Infinity)
    this.#strangers = new Strangers(admission?.strangersBytes ?? Infinity)
    this.#garbage = admission?.garbage
    this.#name = name
    this.address = address
    this.#server = server
    this.#timings = timings
    this.#logger = logger
    server.on('connection', (socket) => {
      this.#accept(socket)
    })
    server.on('error', (error) => logger?.warn('transport', `Could not take a connection: ${error.message}.`))
    this.#silentMs = silentDeadTimes * timings.connectionDeadMs
    this.#roundMs = timings.connectionDeadMs / roundsPerDeadTime
    this.#rounds = setInterval(() => {
      this.#round()
    }, this.#roundMs)
  }

  static async open(
    name: string,
    address: string,
    timings: TransportTimings,
    logger?: Logger,
    wait: StartWait = StartWait.none,
    admission?: TransportAdmission,
  ): Promise<TcpTransport> {
    const cut = address.lastIndexOf(':')
    const host = address.slice(0, cut).replace(/^\[|\]$/g, '')
    const server = createServer()
    await listenOn(server, { host, port: Number(address.slice(cut + 1)) }, wait)
    const bound = server.address()
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0
    return new TcpTransport(name, `${address.slice(0, cut)}:${String(port)}`, server, timings, logger, admission)
  }

  get figures(): Record<string, number> {
    return {
      transport_malformed: this.#counts.malformed,
      transport_unknown_kind: this.#counts.unknownKind,
      transport_foreign: this.#counts.foreign,
      transport_crowded: this.#counts.crowded,
      transport_resets: this.#counts.resets,
      transport_backed_up: this.#counts.backedUp,
      transport_connections: this.#incoming.size + this.#outgoing.size,
    }
  }

  hear(listener: Listener): void {
    this.#listeners.push(listener)
  }

  send(toAddress: string, message: Message): void {
    if (this.#closed) return
    const nowMs = clockMs()
    this.#resetIfDead(toAddress, nowMs)
    const connection = this.#outgoing.get(toAddress) ?? this.#dial(toAddress, nowMs)
    if (connection === undefined) return
    const news = connection.toldCluster === this.cluster ? '' : this.cluster
    if (connection.send(Frame.write(this.#name, this.address, message, news))) connection.toldCluster = this.cluster
    else this.#counts.backedUp += 1
  }

  async close(): Promise<void> {
    this.#closed = true
    clearInterval(this.#rounds)
    for (const connection of this.#outgoing.values()) connection.reset()
    for (const connection of this.#incoming.all) connection.close()
    this.#server.close()
    await once(this.#server, 'close')
  }

  /** Makes a connection, unless one to there was tried a moment ago. */
  #dial(toAddress: string, nowMs: number): OutgoingConnection | undefined {
    const dialledMs = this.#dialledMs.get(toAddress)
    if (dialledMs !== undefined && nowMs - dialledMs < this.#timings.redialMs) return undefined
    this.#dialledMs.set(toAddress, nowMs)
    const connection = new OutgoingConnection(toAddress, clockMs, () => {
      if (this.#outgoing.get(toAddress) === connection) this.#outgoing.delete(toAddress)
    })
    this.#outgoing.set(toAddress, connection)
    return connection
  }

  /** Resets a connection whose other end has shown nothing of what it was sent for the dead time. */
  #resetIfDead(toAddress: string, nowMs: number): void {
    const connection = this.#outgoing.get(toAddress)
    const waitsFromMs = connection?.waitsFromMs
    if (connection === undefined || waitsFromMs === undefined) return
    this.#notice(nowMs)
    if (nowMs - Math.max(waitsFromMs, this.#attentiveFromMs) <= this.#timings.connectionDeadMs) return
    this.#counts.resets += 1
    this.#outgoing.delete(toAddress)
    connection.reset()
  }

  /** Acknowledgements that came while this process stood still are not read yet, so silence counts anew. */
  #notice(nowMs: number): void {
    if (nowMs - this.#roundAtMs > lateRound * this.#roundMs) this.#attentiveFromMs = nowMs
  }

  /** Once in half the dead time: acknowledges what came, closes what is silent, resets what is dead. */
  #round(): void {
    const nowMs = clockMs()
    this.#notice(nowMs)
    this.#roundAtMs = nowMs
    const { connectionDeadMs, redialMs } = this.#timings
    for (const connection of this.#incoming.all) {
      connection.acknowledge()
      const silentMs = nowMs - Math.max(connection.heardMs, this.#attentiveFromMs)
      if (silentMs > this.#silentMs) connection.close()
    }
    for (const [address, connection] of this.#outgoing) {
      this.#resetIfDead(address, nowMs)
      const { idleFromMs } = connection
      if (idleFromMs === undefined || nowMs - idleFromMs <= connectionDeadMs) continue
      this.#outgoing.delete(address)
      connection.end()
    }
    for (const [address, dialledMs] of this.#dialledMs) if (nowMs - dialledMs > redialMs) this.#dialledMs.delete(address)
  }

  #accept(socket: Socket): void {
    this.#accepted += 1
    const connection = new IncomingConnection(socket, this.#accepted, {
      clockMs,
      silentMs: this.#silentMs,
      cluster: () => this.cluster,
      heard: (one, from, fromAddress, message) => {
        if (this.#supersedes(one, `${from} ${fromAddress}`)) for (const listener of this.#listeners) listener(from, fromAddress, message)
      },
      received: (bytes) => {
        this.#garbage?.arrived(bytes)
      },
      strangerHolds: (one, bytes) => {
        this.#strangers.hold(one, bytes)
      },
      recognized: (one) => {
        this.#strangers.delete(one)
        this.#incoming.begin(one)
      },
      dropped: (kind, first, why) => {
        this.#counts[kind] += 1
        if (first) this.#logger?.warn('transport', why)
      },
      ended: () => {
        this.#incoming.delete(connection)
        this.#strangers.delete(connection)
        if (this.#newest.get(connection.sender) === connection) this.#newest.delete(connection.sender)
      },
    })
    const closed = this.#incoming.add(connection)
    if (closed === undefined) return
    this.#counts.crowded += 1
    closed.close()
  }

  /** A process speaks over its newest connection alone: what an older one still holds was given up by its sender. */
  #supersedes(connection: IncomingConnection, sender: string): boolean {
    const newest = this.#newest.get(sender)
    if (newest === connection) return true
    if (newest !== undefined && newest.number > connection.number) {
      connection.close()
      return false
    }
    connection.sender = sender
    this.#newest.set(sender, connection)
    newest?.close()
    return true
  }
}
