/**
 * The port through which a junction understands callers of routes and the servers behind them, in whichever
 * outside format: pure functions that read and write heads, without memory and without choices.
 */
import type { IncomingHttpHeaders } from 'node:http'

/** What the head of a caller's request says. Tokens are those of the prompt and the most that may be put out. */
export interface Arrival {
  id: string
  dueInMs: number | undefined
  /** The last event of a stream that the caller has seen. */
  resumeAfter: string | undefined
  model: string
  adapter: string
  promptTokens: number
  outputTokens: number
  parts: { id: string; tokens: number }[]
}
/** What a server is told beside what the caller sent. */
export interface Onward {
  leftMs: number
  server: string
  urgency: number
  resumeAfter: string | undefined
  model: boolean
}
/** What the head of a server's answer says of it: `sealed` that it is whole and the server's own. */
export interface Reply {
  notRun: boolean
  sealed: boolean
  id: string | undefined
}

export interface RouteWire {
  arrival(headers: IncomingHttpHeaders): Arrival
  /** The head for a server, out of the caller's, without what concerns only the caller's connection. */
  onward(headers: IncomingHttpHeaders, onward: Onward): Record<string, string | string[]>
  reply(status: number, headers: IncomingHttpHeaders): Reply
  /** Headers of a final answer that is not a server's, with when to come back. */
  refusal(id: string, comeBackMs: number | undefined): Record<string, string>
}
