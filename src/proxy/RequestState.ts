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
  /** A further try has been granted. */
  pass: boolean
  /** Sent, may be repeated, and without a first byte for too long. */
  impatient: boolean
  notBeforeMs: number
  boundMs: number
  sentMs: number
  lastWhy: string
}
