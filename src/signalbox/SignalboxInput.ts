/**
 * What a signalbox's machine is told.
 */
import type { Report } from '../gauge/Report.js'
import type { PlatformServer } from '../gauge/PlatformServer.js'
import type { Message } from '../telegraph/Message.js'
import type { Operation } from './Operation.js'

export type SignalboxInput =
  | { kind: 'tick'; hour: number }
  | { kind: 'message'; from: string; fromAddress: string; message: Message }
  | { kind: 'written' }
  | { kind: 'operate'; id: string; operation: Operation }
  | { kind: 'platform'; servers: PlatformServer[]; askedMs: number }
  | { kind: 'reported'; server: string; report: Report | undefined; askedMs: number }
  | { kind: 'replied'; server: string; tenure: number; number: number; reply: 'accepted' | 'held' | 'turnedAway' | 'unknown' }
