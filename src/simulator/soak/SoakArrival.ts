/**
 * One try of a request, as its client says it and a server reads it.
 */
export interface SoakArrival {
  id: string
  /** Empty for a service without models. */
  model: string
  adapter: string
  dueMs: number
  /** The last event that a resumed stream has had. */
  resumeAfter: number
  /** The only server that may run it; empty when none is named. */
  target: string
}
