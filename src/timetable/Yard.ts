/**
 * The dispatcher's entity for a model server: what the charter and the platform say of it, its last
 * report, the order that is under way, and the plan that the order belongs to.
 */
import type { Order } from '../gauge/Order.js'
import type { Report } from '../gauge/Report.js'

export interface Yard {
  name: string
  address: string
  zone: string
  roomMb: number
  places: number
  open: boolean
  report: (Report & { askedMs: number; heardMs: number }) | undefined
  askedMs: number
  answeredMs: number
  task: { order: Order; phase: 'withdrawing' | 'proposed' | 'sent'; sinceMs: number; sentMs: number; incarnation: string } | undefined
  plan:
    { model: string; adapter: string; victims: string[]; why: string; relaxed: 'nothing' | 'history' | 'overlap' | 'doubles' } | undefined
  backoffUntilMs: number
}
