/**
 * The order in which waiting requests are served: partners take turns, and each partner's requests go by their deadline. `turn`
 * tells which partner comes first.
 */
import type { RequestState } from './RequestState.js'

export function fairOrder(waiting: readonly RequestState[], turn: number): RequestState[] {
  const byPartner = new Map<string, RequestState[]>()
  for (const request of [...waiting].sort((a, b) => a.dueMs - b.dueMs)) {
    const queue = byPartner.get(request.partner)
    if (queue === undefined) byPartner.set(request.partner, [request])
    else queue.push(request)
  }
  const queues = [...byPartner.values()]
  const longest = Math.max(0, ...queues.map((queue) => queue.length))
  const order: RequestState[] = []
  for (let rank = 0; rank < longest; rank++)
    for (let step = 0; step < queues.length; step++) {
      const next = queues[(rank * queues.length + step + turn) % queues.length]?.[rank]
      if (next !== undefined) order.push(next)
    }
  return order
}
