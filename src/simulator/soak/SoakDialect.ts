/**
 * What the soak needs to know of the formats of a platform: the settings of its processes, and what its
 * operators, its list, its servers and its clients say. The stand-ins here know no format of their own; a
 * module that is named on the command line brings one.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { SoakArrival } from './SoakArrival.js'
import type { SoakHolding } from './SoakHolding.js'
import type { SoakListed } from './SoakListed.js'
import type { SoakNetwork } from './SoakNetwork.js'
import type { SoakOrder } from './SoakOrder.js'
import type { SoakSeat } from './SoakSeat.js'

type Headers = Record<string, string>

export interface SoakDialect {
  /** The product's program on this platform, and the variable that names its settings file. */
  readonly entry: string
  readonly settingsVariable: string
  readonly paths: { readiness: string; configuration: string; list: string; report: string; orders: string; health: string }
  /** The memory that a process may take by its settings, in megabytes, and the flags of its runtime. */
  readonly memoryMb: Record<SoakSeat['role'], number>
  readonly runtimeFlags: Record<SoakSeat['role'], readonly string[]>
  readonly ports: { callers: number; readiness: number; operators: number }
  /** The text of a process's settings file. */
  settings(seat: SoakSeat): string
  /** The text of a whole configuration. */
  configuration(network: SoakNetwork): string
  /** The revision that a configuration which was read back names. */
  revision(text: string): number | undefined
  list(listed: readonly SoakListed[]): string
  report(holding: SoakHolding): string
  /** Nothing when it is no order. */
  order(text: string): SoakOrder | undefined
  healthHead(server: string): Headers
  /** What a client says of a request, and what a server reads of it. */
  requestHead(arrival: Omit<SoakArrival, 'target'>): Headers
  arrival(headers: IncomingHttpHeaders): SoakArrival
  /** A server's answer to a request that it ran, or did not run. */
  answerHead(id: string, seal: string): Headers
  notRunHead(id: string): Headers
  seal(headers: IncomingHttpHeaders): string | undefined
  answeredId(headers: IncomingHttpHeaders): string | undefined
}
