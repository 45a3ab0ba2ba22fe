/**
 * What a lineman's machine is told.
 */
import type { PlatformServer } from '../gauge/PlatformServer.js'
import type { Message } from '../telegraph/Message.js'

export type LinemanInput =
  | { kind: 'tick' }
  | { kind: 'platform'; servers: readonly PlatformServer[] }
  | { kind: 'message'; from: string; fromAddress: string; message: Message }
