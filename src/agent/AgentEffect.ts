/**
 * What an agent's machine asks its tasks to do; `adopted` tells which rows of the copy changed.
 */
import type { Row } from '../consensus/Row.js'
import type { Message } from '../transport/Message.js'

export type AgentEffect =
  | { kind: 'send'; toAddress: string; message: Message }
  | { kind: 'say'; part: string; sentence: string }
  | { kind: 'askPlatform' }
  | { kind: 'adopted'; rows: readonly Row[] }
