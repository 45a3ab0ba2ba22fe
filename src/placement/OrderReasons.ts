/**
 * The newest reasons for orders and their ends, kept for operators, and counts of them all.
 */
import type { Order } from '../common/Order.js'
import type { OrderFigures } from './OrderFigures.js'

interface Reason {
  atMs: number
  server: string
  kind: string
  model: string
  adapter: string
  why: string
}
type Counts = OrderFigures['orders'][number]
const keptReasons = 200
/** The sentences that tell of an order's end; any other is the reason why it was begun. */
const ends: ReadonlyMap<string, 'done' | 'failed'> = new Map([
  ['done', 'done'],
  ['agreed to', 'done'],
  ['it was so already', 'failed'],
  ['the server turned it away', 'failed'],
  ['the server could not', 'failed'],
  ['the server restarted', 'failed'],
  ['never reached the server', 'failed'],
  ['never reached the server, which cannot tell a late copy', 'failed'],
  ['not known to have ended; the server is read anew', 'failed'],
  ['streams in flight outlasted the wait', 'failed'],
])

export class OrderReasons {
  readonly #reasons: Reason[] = []
  readonly #counts = new Map<string, Counts>()

  /** Oldest first. */
  get all(): readonly Reason[] {
    return this.#reasons
  }

  get counts(): readonly Counts[] {
    return [...this.#counts.values()]
  }

  add(server: string, order: Order, why: string, nowMs: number): void {
    this.#reasons.push({ atMs: nowMs, server, kind: order.kind, model: order.model, adapter: order.adapter, why })
    if (this.#reasons.length > keptReasons) this.#reasons.shift()
    this.#count(order.kind, ends.get(why) ?? 'started')
  }

  #count(kind: Order['kind'], stage: Counts['stage']): void {
    const key = `${kind} ${stage}`
    this.#counts.set(key, { kind, stage, count: (this.#counts.get(key)?.count ?? 0) + 1 })
  }
}
