/**
 * A simulated server behind the proxies: a stand-in with a host, an address and a life that faults
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
  /** How much longer than usual its runs take. */
  slowness: number
  /** Another server's name that it claims to have. */
  claims: string | undefined
  /** Its reports cannot be read. */
  nonsense: boolean
  watchers: Set<() => void>
}
