/**
 * A simulated server behind the turnouts: a stand-in with a host, an address and a life that faults
 * end and begin again.
 */
import type { StandInServer } from './StandInServer.js'

export interface SimServer {
  name: string
  host: string
  zone: string
  kind: 'model' | 'service'
  address: string
  state: StandInServer | undefined
  dark: boolean
  lives: number
  draining: boolean
  listed: boolean
  lagMs: number
  orderLoss: number
  orderSlowMs: number
  breaksRuns: number
  watchers: Set<() => void>
}
