/**
 * What a lineman's machine asks its tasks to do; `adopted` tells that rows of the copy changed.
 */
import type { Message } from '../telegraph/Message.js'

export type LinemanEffect =
  | { kind: 'send'; toAddress: string; message: Message }
  | { kind: 'say'; part: string; sentence: string }
  | { kind: 'askPlatform' }
  | { kind: 'adopted' }
