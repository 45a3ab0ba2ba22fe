/**
 * What a lineman's machine is told.
 */
import type { Message } from '../telegraph/Message.js'

export type LinemanInput = { kind: 'tick' } | { kind: 'message'; from: string; fromAddress: string; message: Message }
