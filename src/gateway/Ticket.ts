/**
 * A gateway's task keeps one for each request under way: its caller's end, what is sent on, and the attempt
 * that is under way.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import type { ByteBuffer } from '../common/ByteBuffer.js'
import type { MemoryReservation } from '../common/MemoryReservation.js'
import type { EventScanner } from './EventScanner.js'

export interface Ticket {
  requestId: string
  response: ServerResponse
  method: Dispatcher.HttpMethod
  path: string
  headers: IncomingHttpHeaders
  body: Buffer
  attempt: number
  controller: Dispatcher.DispatchController | undefined
  /** The head of the answer, until its first whole part goes to the caller. */
  head: { status: number; headers: Record<string, string | string[]> } | undefined
  relaying: boolean
  scanner: EventScanner | undefined
  /** A short answer, until it is whole. */
  gathered: ByteBuffer | undefined
  /** What the gathered answer takes of the memory budget, until the caller has it. */
  answerMemory: MemoryReservation
}
