/**
 * One body that comes in: gathers it within its limits and keeps account of how it goes on.
 */
import type { IncomingMessage } from 'node:http'
import { ByteBuffer } from '../ByteBuffer.js'
import type { MemoryReservation } from '../MemoryReservation.js'
import type { BodyLimits } from './BodyLimits.js'
import type { BodyOutcome } from './BodyOutcome.js'

/** A body is costly once it has brought so many pieces of fewer bytes than these on average. */
const costlyPieces = 256
const costlyBytes = 64
/** The least that a body must bring, on average, beyond a first idle time. */
const leastBytesPerMs = 4

/** What a body asks of its owner. */
interface Owner {
  /** A piece came; tells whether the body may go on. */
  readonly pieceCame: (body: IncomingBody, bytes: number) => boolean
  /** A piece of a refused body came. */
  readonly pieceDropped: (body: IncomingBody, bytes: number) => void
  /** Tries to make room for a body that found none. */
  readonly makeRoom: (body: IncomingBody) => boolean
  readonly ended: (body: IncomingBody) => void
}

export class IncomingBody {
  readonly request: IncomingMessage
  readonly outcome: Promise<BodyOutcome>
  readonly #limits: BodyLimits
  readonly #gathered: ByteBuffer
  readonly #owner: Owner
  readonly #beganMs: number
  #settle: (outcome: BodyOutcome) => void = () => undefined
  #pieces = 0
  #bytes = 0
  #isOver = false
  /** When it last brought anything. */
  progressMs: number

  constructor(request: IncomingMessage, limits: BodyLimits, memory: MemoryReservation, owner: Owner, nowMs: number) {
    this.request = request
    this.#limits = limits
    this.#owner = owner
    this.#beganMs = nowMs
    this.progressMs = nowMs
    this.#gathered = new ByteBuffer(limits.bytes, memory, this.#toldBytes)
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve
    })
    request.on('data', this.#take)
    request.once('end', () => {
      if (!this.#isOver) this.#end({ kind: 'whole', bytes: this.#gathered.take() })
    })
    const gone = () => {
      this.refuse({ kind: 'gone' })
    }
    request.once('error', gone)
    request.once('close', gone)
  }

  /** True if it comes in so small pieces that its parsing costs far more than its bytes. */
  get isCostly(): boolean {
    return this.#pieces >= costlyPieces && this.#bytes < costlyBytes * this.#pieces
  }

  get heldBytes(): number {
    return this.#gathered.length
  }

  /** What is still to come, in bytes, where the client told the length. */
  get restBytes(): number | undefined {
    const told = this.#toldBytes
    return told === undefined ? undefined : told - this.#bytes
  }

  /** True if it has brought nothing for too long, or too little for its time. */
  isTooSlow(nowMs: number): boolean {
    const { idleMs } = this.#limits
    return nowMs - this.progressMs > idleMs || nowMs - this.#beganMs > idleMs + this.#bytes / leastBytesPerMs
  }

  /** Ends it without its bytes; nothing of it is kept. */
  refuse(outcome: BodyOutcome): void {
    if (this.#isOver) return
    this.request.off('data', this.#take)
    // The parser goes on to the end of what has been read.
    this.request.on('data', (piece: Buffer) => {
      this.#owner.pieceDropped(this, piece.length)
    })
    this.#gathered.clear()
    this.#end(outcome)
  }

  get #toldBytes(): number | undefined {
    const told = Number(this.request.headers['content-length'] ?? NaN)
    return Number.isSafeInteger(told) ? told : undefined
  }

  readonly #take = (piece: Buffer): void => {
    this.#pieces += 1
    this.#bytes += piece.length
    if (!this.#owner.pieceCame(this, piece.length)) this.refuse({ kind: 'tooCostly' })
    else if (this.#bytes > this.#limits.bytes) this.refuse({ kind: 'tooLong' })
    else if (!this.#append(piece)) this.refuse({ kind: 'noMemory' })
  }

  #append(piece: Buffer): boolean {
    while (!this.#gathered.append(piece)) if (!this.#owner.makeRoom(this)) return false
    return true
  }

  #end(outcome: BodyOutcome): void {
    this.#isOver = true
    this.#owner.ended(this)
    this.#settle(outcome)
  }
}
