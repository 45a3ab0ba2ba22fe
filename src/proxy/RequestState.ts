/**
 * The state of a request that a proxy is working on.
 */
import type { Phase } from './Phase.js'

export interface RequestState {
  id: string
  target: { kind: 'model'; name: string; adapter: string; chain: string[] } | { kind: 'service'; name: string }
  partner: string
  bytes: number
  arrivedMs: number
  dueMs: number
  dueGiven: boolean
  phase: Phase
  attempt: number
  server: string
  sends: number
  mayHaveRun: boolean
  /** Until when a further try may begin by the grant that it has. */
  grantedUntilMs: number
  /** Grants for the next try that were not used in time. */
  lapses: number
  /** Sent, may be repeated, and without a first byte for too long. */
  impatient: boolean
  notBeforeMs: number
  boundMs: number
  sentMs: number
  lastWhy: string
}
