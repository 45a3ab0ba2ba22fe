/**
 * What callers, servers, the weight store, the platform and operators observed, each with its time. The
 * invariant checker reads nothing else: never the system's own state.
 */
import type { Verdict } from '../common/Verdict.js'

export type Observation =
  | {
      kind: 'asked'
      atMs: number
      request: string
      service: string
      repeatable: boolean
      dueMs: number
      leastDueMs: number
      proper: boolean
    }
  | { kind: 'whole'; atMs: number; request: string; status: number; sum: number }
  | { kind: 'brokenOff'; atMs: number; request: string }
  | {
      kind: 'turnedAway'
      atMs: number
      request: string
      status: number
      verdict: Verdict | undefined
      retryAfter: boolean
      wokeMs: number
      why: string
    }
  | { kind: 'left'; atMs: number; request: string; why: string }
  | {
      kind: 'ran'
      atMs: number
      request: string
      /** The ids under which the run's own callers marked the request; a visitor's request bears none. */
      marks: readonly string[]
      server: string
      /** Empty when the server cannot tell for which service it ran. */
      service: string
      sum: number
      incarnation: string
      wokeMs: number
    }
  | { kind: 'coldRun'; atMs: number; server: string; incarnation: string; flights: number; limit: number }
  | { kind: 'ordered'; atMs: number; server: string; incarnation: string; epoch: number; number: number; order: string; taken: boolean }
  | { kind: 'broke'; atMs: number; server: string; rule: 'room' | 'places' | 'flights' | 'twoOrders'; what: string }
  | { kind: 'drew'; atMs: number; mb: number }
  | { kind: 'platform'; atMs: number; server: string; draining: boolean; listed: boolean }
  | { kind: 'wrote'; atMs: number; operation: string; text: string; branch: string; action: string; ifMatch: number }
  | { kind: 'acknowledged'; atMs: number; operation: string; stamp: number }
  | { kind: 'undecided'; atMs: number; operation: string }
  | { kind: 'notTaken'; atMs: number; operation: string; status: number }
  | { kind: 'wholeBack'; atMs: number; stamp: number; text: string }
  | { kind: 'readBack'; atMs: number; stamp: number; text: string }
  | { kind: 'read'; atMs: number; fromMs: number; stamp: number; sum: number }
  | { kind: 'emptied'; atMs: number; zone: string; emptied: boolean; ackedMs: number }
  | { kind: 'barred'; atMs: number; service: string; server: string; barred: boolean; ackedMs: number }
  | { kind: 'history'; atMs: number; entries: readonly { stamp: number; operation: string }[] }
  | { kind: 'coreDown'; atMs: number; fromMs: number }
  | { kind: 'serverUp'; atMs: number; server: string; zone: string }
  /** The network handed a message over that was sent so long ago. */
  | { kind: 'overdue'; atMs: number; message: string; ageMs: number }
  /** The leader counted what a life of a seat works by that had ended before the present one got its lease. */
  | { kind: 'formerLife'; atMs: number; seat: string }
  | { kind: 'faultBegan'; atMs: number; fault: string }
  | { kind: 'faultClosed'; atMs: number; fault: string }
