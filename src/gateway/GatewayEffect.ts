/**
 * What a gateway's machine asks its task to do. `attempt` sends the request to a server, `relay` lets the
 * answer through to the caller, `release` ends an attempt, `turnAway` is the caller's final answer and
 * `breakOff` cuts an answer that began. `tell` goes to whoever places the models.
 */
import type { Message } from '../transport/Message.js'

export type GatewayEffect =
  | {
      kind: 'attempt'
      id: string
      attempt: number
      server: string
      address: string
      leftMs: number
      urgency: number
      resumeAfter: string | undefined
      model: boolean
      connections: number
    }
  | { kind: 'relay'; id: string; attempt: number }
  | { kind: 'release'; id: string; attempt: number }
  | { kind: 'turnAway'; id: string; status: number; comeBackMs: number | undefined; why: string }
  | { kind: 'breakOff'; id: string; why: string }
  | { kind: 'tell'; message: Extract<Message, { kind: 'tally' }> }
