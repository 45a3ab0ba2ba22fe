/**
 * What one message takes of a memory budget.
 */
export interface MemoryReservation {
  /** True once a growth was refused. */
  readonly isRefused: boolean
  /** Holds this many bytes in place of those held before; false, and nothing changes, where the budget has no room for more. */
  resize(bytes: number): boolean
  /** Gives all back for good; may be called more than once. */
  release(): void
}
