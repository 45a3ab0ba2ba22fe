/**
 * What one body may take.
 */
export interface BodyLimits {
  /** The most bytes. */
  readonly bytes: number
  /** How long it may bring nothing, in milliseconds. */
  readonly idleMs: number
}
