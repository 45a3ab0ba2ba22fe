/**
 * One attempt of a simulated proxy that is connected to a server.
 */
import type { SimServer } from './SimServer.js'
import type { StandInServer } from './StandInServer.js'

export interface SimFlight {
  readonly server: SimServer
  /** The life of the server that it is connected to. */
  readonly state: StandInServer
  cancelled: boolean
  /** Ends the run at the server, if one is under way. */
  end: () => void
}
