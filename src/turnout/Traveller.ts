/**
 * The turnout's entity for a request on its way.
 */
import type { Phase } from './Phase.js'

export interface Traveller {
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
  cold: boolean
  sends: number
  mayHaveRun: boolean
  notBeforeMs: number
  boundMs: number
  lastWhy: string
}
