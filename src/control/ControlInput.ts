/**
 * What a control node's machine is told.
 */
import type { Report } from '../common/Report.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Message } from '../transport/Message.js'
import type { Operation } from './Operation.js'

export type ControlInput =
  | { kind: 'tick'; hour: number }
  | { kind: 'message'; from: string; fromAddress: string; message: Message }
  | { kind: 'written' }
  | { kind: 'operate'; id: string; operation: Operation }
  /** The caller of a request is gone. */
  | { kind: 'cancel'; id: string }
  | { kind: 'platform'; servers: PlatformServer[]; askedMs: number }
  | { kind: 'reported'; server: string; report: Report | undefined; askedMs: number }
  | { kind: 'replied'; server: string; epoch: number; number: number; reply: 'accepted' | 'held' | 'turnedAway' | 'unknown' }
