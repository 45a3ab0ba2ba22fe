/**
 * One connection that another process made to this one: its frames are read and handed on, bytes are
 * acknowledged when the owner says so, and what is no message of this cluster is dropped and counted.
 * It ends when it was silent for too long, also if bytes come then: they may be as old as the silence.
 */
import type { Socket } from 'node:net'
import { Acknowledgement } from './Acknowledgement.js'
import { Frame } from './Frame.js'
import type { Message } from './Message.js'

type Dropped = 'malformed' | 'unknownKind' | 'foreign'

interface Owner {
  clockMs: () => number
  /** The longest silence after which what comes is still taken. */
  silentMs: number
  /** The cluster of this process; empty while it belongs to none. */
  cluster: () => string
  heard: (connection: IncomingConnection, from: string, fromAddress: string, message: Message) => void
  /** Bytes came. */
  received: (bytes: number) => void
  /** A connection that has brought no message yet holds so many bytes of its first frame. */
  strangerHolds: (connection: IncomingConnection, bytes: number) => void
  /** Its first message of this cluster came. */
  recognized: (connection: IncomingConnection) => void
  /** Something was dropped; the reason is told once a connection and kind. */
  dropped: (kind: Dropped, first: boolean, why: string) => void
  ended: () => void
}

export class IncomingConnection {
  /** When bytes last came, or when it was made. */
  heardMs: number
  /** The process that it comes from, once it spoke. */
  sender = ''
  /** Its place in the order in which connections were accepted. */
  readonly number: number
  readonly #socket: Socket
  readonly #owner: Owner
  readonly #frame = new Frame()
  #receivedBytes = 0
  #acknowledgedBytes = 0
  #cluster = ''
  readonly #told = new Set<string>()
  /** True until it has brought a message of this cluster. */
  #isStranger = true

  constructor(socket: Socket, number: number, owner: Owner) {
    this.number = number
    this.#socket = socket
    this.#owner = owner
    this.heardMs = owner.clockMs()
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      this.#frame.clear()
      owner.ended()
    })
    socket.on('data', (chunk) => {
      this.#read(chunk)
    })
    socket.write(Acknowledgement.write(0))
  }

  /** Tells the other end how much came, if anything did since the last time and the last telling has gone out. */
  acknowledge(): void {
    if (this.#receivedBytes === this.#acknowledgedBytes || this.#socket.writableLength > 0) return
    this.#acknowledgedBytes = this.#receivedBytes
    this.#socket.write(Acknowledgement.write(this.#receivedBytes))
  }

  close(): void {
    this.#socket.destroy()
  }

  #read(chunk: Buffer): void {
    const nowMs = this.#owner.clockMs()
    if (nowMs - this.heardMs > this.#owner.silentMs) {
      this.#socket.destroy()
      return
    }
    this.heardMs = nowMs
    this.#receivedBytes += chunk.length
    this.#owner.received(chunk.length)
    if (this.#isStranger) this.#owner.strangerHolds(this, this.#frame.heldBytes + chunk.length)
    const unknownBefore = this.#frame.passedBy
    const received = this.#frame.read(chunk)
    if (typeof received === 'string') {
      this.#drop('malformed', `Closed a connection from ${String(this.#socket.remoteAddress)}: ${received}.`)
      this.#socket.destroy()
      return
    }
    for (let passed = unknownBefore; passed < this.#frame.passedBy; passed++)
      this.#drop('unknownKind', 'Passes by messages of a kind that this version does not know.')
    for (const { from, fromAddress, message, cluster } of received) {
      if (this.#socket.destroyed) return
      if (cluster !== '') this.#cluster = cluster
      if (this.#foreign) this.#drop('foreign', `Drops messages of ${from} (${fromAddress}), which belongs to another cluster.`)
      else {
        this.#recognize()
        this.#owner.heard(this, from, fromAddress, message)
      }
    }
  }

  #recognize(): void {
    if (!this.#isStranger) return
    this.#isStranger = false
    this.#owner.recognized(this)
  }

  get #foreign(): boolean {
    const own = this.#owner.cluster()
    return own !== '' && this.#cluster !== '' && this.#cluster !== own
  }

  #drop(kind: Dropped, why: string): void {
    this.#owner.dropped(kind, !this.#told.has(kind), why)
    this.#told.add(kind)
  }
}
