/**
 * The newest reasons for orders and their ends, kept for operators.
 */
import type { Order } from '../common/Order.js'

interface Reason {
  atMs: number
  server: string
  kind: string
  model: string
  adapter: string
  why: string
}
const keptReasons = 200

export class OrderReasons {
  readonly #reasons: Reason[] = []

  /** Oldest first. */
  get all(): readonly Reason[] {
    return this.#reasons
  }

  add(server: string, order: Order, why: string, nowMs: number): void {
    this.#reasons.push({ atMs: nowMs, server, kind: order.kind, model: order.model, adapter: order.adapter, why })
    if (this.#reasons.length > keptReasons) this.#reasons.shift()
  }
}
