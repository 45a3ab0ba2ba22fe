/**
 * What a proxy's machine asks its tasks to do. `attempt` opens and identifies a connection, `go`
 * lets the request onto it, `relay` lets the response through to the caller, `release` ends an
 * attempt, `turnAway` is the caller's final answer and `breakOff` cuts a response that began.
 */
import type { Verdict } from '../common/Verdict.js'
import type { Message } from '../transport/Message.js'

export type ProxyEffect =
  | { kind: 'send'; toAddress: string; message: Message }
  | { kind: 'attempt'; id: string; attempt: number; server: string; address: string; fresh: boolean }
  | { kind: 'go'; id: string; attempt: number }
  | { kind: 'relay'; id: string; attempt: number }
  | { kind: 'release'; id: string; attempt: number }
  | { kind: 'turnAway'; id: string; status: number; verdict: Verdict; retryAfterS: number; why: string }
  | { kind: 'breakOff'; id: string; why: string }
  | { kind: 'say'; part: string; sentence: string }
