/**
 * How large the scene of a soak is. Control nodes, models and their servers are the same in every size.
 */
export interface SoakSize {
  /** Processes that carry requests; three control nodes come on top. */
  gateways: number
  /** Servers whose streams last for seconds. */
  scrollServers: number
  /** Clients that keep a connection for as long as they may. */
  keptClients: number
  /** Clients whose bodies take seconds to come. */
  slowClients: number
  /** Gateways that one series of planned stops takes. */
  leastStops: number
  mostStops: number
  /** Time between two of its stops, in milliseconds. */
  leastGapMs: number
  mostGapMs: number
}
