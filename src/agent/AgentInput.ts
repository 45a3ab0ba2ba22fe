/**
 * What an agent's machine is told.
 */
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Message } from '../transport/Message.js'

export type AgentInput =
  | { kind: 'tick' }
  | { kind: 'platform'; servers: readonly PlatformServer[] }
  | { kind: 'message'; from: string; fromAddress: string; message: Message }
