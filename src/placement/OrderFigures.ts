/**
 * What is under way of a dispatcher's orders, and what became of them since it took the duty, for the metrics.
 */
import type { Order } from '../common/Order.js'
import type { ModelServer } from './ModelServer.js'

type Phase = NonNullable<ModelServer['task']>['phase']
type Kind = Order['kind']
interface Tasks {
  phase: Phase
  kind: Kind
  count: number
}

export const OrderFigures = {
  of(servers: Iterable<Pick<ModelServer, 'task'>>, orders: OrderFigures['orders']): OrderFigures {
    const tasks = new Map<string, Tasks>()
    for (const { task } of servers) {
      if (task === undefined) continue
      const { phase } = task
      const { kind } = task.order
      const key = `${phase} ${kind}`
      tasks.set(key, { phase, kind, count: (tasks.get(key)?.count ?? 0) + 1 })
    }
    return { tasks: [...tasks.values()], orders }
  },
}
export interface OrderFigures {
  tasks: readonly Tasks[]
  /**
   * Orders by how far they came: `started` when they were decided on, then `done`, or `failed` where they ended without
   * what they were for. Orders of an earlier epoch only end here.
   */
  orders: readonly { kind: Kind; stage: 'started' | 'done' | 'failed'; count: number }[]
}
