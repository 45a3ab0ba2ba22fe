/**
 * The dispatcher's entity for a model server: what the charter and the platform say of it, its last
 * report, the order that is under way, and the plan that the order belongs to.
 */
import type { Order } from '../common/Order.js'
import type { Report } from '../common/Report.js'
import type { Relaxation } from './Relaxation.js'

export interface ModelServer {
  name: string
  address: string
  zone: string
  /** The service that it belongs to in a network, whose models alone it may hold. */
  owner: string | undefined
  /** Requests that it works on at once, and whether it bears only few for now. */
  capacity: number
  cold: boolean
  roomMb: number
  places: number
  open: boolean
  report: (Report & { askedMs: number; heardMs: number }) | undefined
  askedMs: number
  answeredMs: number
  task:
    | {
        order: Order
        phase: 'withdrawing' | 'proposed' | 'sent'
        sinceMs: number
        sentMs: number
        incarnation: string
        /** When the server took the order, and when sending it ended without an answer. */
        takenMs?: number
        unansweredMs?: number
        /** When to send it again that was turned away, as the order before it was still being carried out. */
        againMs?: number
        sendAtMs?: number
        /** When no binding named any more what is to go. */
        withdrawnMs?: number
      }
    | undefined
  plan: { model: string; adapter: string; victims: string[]; why: string; relaxed: Relaxation; sinceMs: number } | undefined
  backoffUntilMs: number
  /** Orders that it had taken when it was last read; unknown until then, and where a list differs from it. */
  sequence: number | undefined
  settledMs: number
  /** When it last agreed to let something go. */
  leavingMs: number
  /** What an adapter of each model takes of the room, where adapters count. */
  adapterMb: ReadonlyMap<string, number>
}

export const ModelServer = {
  /** True when requests may use it there: loaded, and not on its way out. */
  holds({ report, task }: ModelServer, model: string, adapter: string): boolean {
    if (report === undefined) return false
    if (task?.order.kind === 'unload' && task.order.model === model) return false
    if (!report.models.some((one) => one.model === model && one.state === 'loaded')) return false
    if (adapter === '') return true
    if (task?.order.kind === 'detach' && task.order.model === model && task.order.adapter === adapter) return false
    return report.adapters.some((one) => one.model === model && one.adapter === adapter && one.state === 'loaded')
  },

  /** Configured size, less every weight reported, less every load not known to have ended. */
  freeMb({ roomMb, report, task, adapterMb }: ModelServer): number {
    let room = roomMb
    for (const one of report?.models ?? []) room -= one.sizeMb
    for (const one of report?.adapters ?? []) room -= adapterMb.get(one.model) ?? 0
    const order = task?.order
    if (order?.kind === 'attach') room -= adapterMb.get(order.model) ?? 0
    if (order?.kind === 'load' && report?.models.some((one) => one.model === order.model) !== true) room -= order.sizeMb
    return room
  },

  freePlaces({ places, report, task }: ModelServer): number {
    const order = task?.order
    const coming =
      order?.kind === 'attach' && report?.adapters.some((one) => one.model === order.model && one.adapter === order.adapter) !== true
    return places - (report?.adapters.length ?? 0) - (coming ? 1 : 0)
  },
}
