/**
 * The bodies that come in at a door. Those that don't go on are ended; where memory is wanting, those that have been silent longest
 * make way for those that go on; and only few may come in tiny pieces at a time.
 */
import type { IncomingMessage } from 'node:http'
import { clockMs } from '../clockMs.js'
import type { MemoryReservation } from '../MemoryReservation.js'
import type { BodyLimits } from './BodyLimits.js'
import { IncomingBody } from './IncomingBody.js'

/** How often bodies that don't go on are looked for, while there are any. */
const sweepMs = 250
/** A body makes way for another only after so long a silence. */
const silentMs = 500
/** Costly bodies at a time, over the whole door. */
const mostCostly = 4

/** Tells that a piece of a body came, and whether that body is costly. */
type PieceListener = (request: IncomingMessage, bytes: number, isCostly: boolean) => void

export class IncomingBodies {
  readonly #pieceCame: PieceListener
  readonly #bodies = new Set<IncomingBody>()
  readonly #costly = new Set<IncomingBody>()
  #sweep: NodeJS.Timeout | undefined

  constructor(pieceCame: PieceListener) {
    this.#pieceCame = pieceCame
  }

  get size(): number {
    return this.#bodies.size
  }

  read(request: IncomingMessage, limits: BodyLimits, memory: MemoryReservation): IncomingBody {
    const body = new IncomingBody(
      request,
      limits,
      memory,
      {
        pieceCame: (one, bytes) => this.#take(one, bytes),
        pieceDropped: (one, bytes) => {
          this.#pieceCame(one.request, bytes, one.isCostly)
        },
        makeRoom: (one) => this.#makeRoom(one),
        ended: (one) => {
          this.#delete(one)
        },
      },
      clockMs(),
    )
    const { headers } = request
    if (headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0) this.#track(body)
    return body
  }

  #take(body: IncomingBody, bytes: number): boolean {
    body.progressMs = clockMs()
    const { isCostly } = body
    this.#pieceCame(body.request, bytes, isCostly)
    if (!isCostly || this.#costly.has(body)) return true
    if (this.#costly.size >= mostCostly) return false
    this.#costly.add(body)
    return true
  }

  #track(body: IncomingBody): void {
    this.#bodies.add(body)
    this.#sweep ??= setInterval(() => {
      this.#endSlow()
    }, sweepMs)
  }

  #endSlow(): void {
    if (this.#bodies.size === 0) {
      clearInterval(this.#sweep)
      this.#sweep = undefined
    }
    const nowMs = clockMs()
    for (const body of this.#bodies) if (body.isTooSlow(nowMs)) body.refuse({ kind: 'tooSlow' })
  }

  /** Ends the body that has been silent longest, if any has been for long enough. */
  #makeRoom(wanting: IncomingBody): boolean {
    const latestMs = clockMs() - silentMs
    let oldest: IncomingBody | undefined
    for (const body of this.#bodies) {
      if (body === wanting || body.heldBytes === 0 || body.progressMs > latestMs) continue
      if (oldest === undefined || body.progressMs < oldest.progressMs) oldest = body
    }
    oldest?.refuse({ kind: 'tooSlow' })
    return oldest !== undefined
  }

  #delete(body: IncomingBody): void {
    this.#bodies.delete(body)
    this.#costly.delete(body)
  }
}
