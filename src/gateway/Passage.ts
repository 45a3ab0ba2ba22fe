/**
 * A request's way through a gateway, as a state chart and an entity. `sent` is the one place where "may
 * have run" begins; the last three states are final. A stream that may be resumed goes back from `streaming`
 * to `held`, and so does any that may be repeated while none of its answer has gone to the caller.
 */
import type { Network } from '../common/Network.js'
import type { Arrival } from '../adapters/Arrival.js'
import type { DelayAccount } from './DelayAccount.js'

const next = {
  arrived: ['held', 'connecting', 'turnedAway'],
  held: ['connecting', 'turnedAway', 'defected'],
  connecting: ['sent', 'held', 'turnedAway', 'defected'],
  sent: ['streaming', 'held', 'defected', 'turnedAway'],
  streaming: ['responded', 'held', 'defected', 'turnedAway'],
  responded: [],
  defected: [],
  turnedAway: [],
} as const
type Phase = keyof typeof next

export const Passage = {
  allows(from: Phase, to: Phase): boolean {
    const targets: readonly Phase[] = next[from]
    return targets.includes(to)
  },
  final(phase: Phase): boolean {
    return next[phase].length === 0
  },
}
export interface Passage {
  id: string
  host: string
  path: string
  arrival: Arrival
  arrivedMs: number
  dueMs: number
  phase: Phase
  route: Network['routes'][number] | undefined
  service: string
  /** Key of the model in the shared table, and of the adapter on it; empty where the service has no models. */
  model: string
  adapter: string
  attempt: number
  server: string
  /** Servers that were sent it, and those that failed it. */
  sends: number
  /** Names of the servers that it was sent to. */
  tried: Set<string>
  avoid: Set<string>
  mayHaveRun: boolean
  /** True if the last server that it was sent to surely did not run it. */
  refused: boolean
  heldMs: number
  boundMs: number
  sentMs: number
  /** When the stream last moved, and whether any of it went to the caller. */
  movedMs: number
  begun: boolean
  /** True while the caller does not take what is passed on, so that nothing is read from the server. */
  blocked: boolean
  /** True once the last event with data that went to the caller told its place in the stream. */
  resumePoint: boolean
  lastEvent: string | undefined
  lastWhy: string
  /** What it has spent its time on until the first byte of its answer. */
  delays: DelayAccount
}
