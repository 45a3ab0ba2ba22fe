/**
 * The port through which a gateway understands callers of routes and the servers behind them, in whichever
 * external format: pure functions that read and write heads, without memory and without choices.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Arrival } from './Arrival.js'
import type { Onward } from './Onward.js'
import type { Reply } from './Reply.js'

export interface RouteCodec {
  arrival(headers: IncomingHttpHeaders): Arrival
  /** The head for a server, out of the caller's, without what concerns only the caller's connection. */
  onward(headers: IncomingHttpHeaders, onward: Onward): Record<string, string | string[]>
  reply(status: number, headers: IncomingHttpHeaders): Reply
  /** Headers of a final answer that is not a server's, with when to come back. */
  refusal(id: string, comeBackMs: number | undefined): Record<string, string>
}
