/**
 * A planned stop of a process, as it was seen from outside.
 */
export interface SoakStop {
  who: string
  /** When SIGTERM was sent, and when the process had ended. */
  termMs: number
  endMs: number
  /** True if it had to be ended by SIGKILL. */
  killed: boolean
  code: number | undefined
}
