/**
 * The times of one stop, in milliseconds of the gateway's clock.
 */
export interface StopTimes {
  /** Until when callers may still come in. */
  leaveByMs: number
  /** Until when requests may wait for a server. */
  holdUntilMs: number
  /** When requests of whose answer nothing has gone out get a final one. */
  endMs: number
}
