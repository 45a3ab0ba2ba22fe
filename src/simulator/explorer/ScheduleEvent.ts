/**
 * A fault or a request of a schedule, with the time at which it begins.
 */

interface At {
  atMs: number
}
/** A seat by its number; `leader` is whichever node leads when the event begins. */
type Target = number | 'leader'

export type ScheduleEvent = At &
  (
    | { kind: 'cut'; from: number[] | 'leader'; to: number[]; bothWays: boolean; hold: boolean; forMs: number }
    | { kind: 'lossy'; ratio: number; forMs: number }
    | {
        kind: 'crash'
        target: Target
        /** `now`, or at a later write of the node: before it, before its sync, after its sync and before its sends, or after those. */
        when: 'now' | 'beforeWrite' | 'beforeSync' | 'beforeSends' | 'afterSends'
        /** How many of the node's writes are let through first. */
        skip: number
        keep: 'all' | 'lost' | 'torn'
        downMs: number
      }
    | { kind: 'wipe'; target: Target; downMs: number }
    | { kind: 'freeze'; target: Target; forMs: number }
    | { kind: 'stall'; target: Target; forMs: number }
    | { kind: 'slowDisk'; target: Target; byMs: number; forMs: number }
    | { kind: 'compact'; target: Target }
    | { kind: 'handOver' }
    | { kind: 'join'; seat: number }
    | { kind: 'leave'; target: Target }
    | { kind: 'write'; id: string; conditional: boolean; resendMs: number; pick: number }
    | { kind: 'read'; id: string; pick: number }
    | { kind: 'role'; action: 'win' | 'vacate' | 'dispatch' | 'staleDispatch'; seat: number; pick: number }
  )
