/**
 * What an agent's machine asks its tasks to do; `adopted` tells that rows of the copy changed.
 */
import type { Message } from '../transport/Message.js'

export type AgentEffect =
  | { kind: 'send'; toAddress: string; message: Message }
  | { kind: 'say'; part: string; sentence: string }
  | { kind: 'askPlatform' }
  | { kind: 'adopted' }
