/**
 * A configuration that was read back.
 */
export interface SoakReading {
  askedMs: number
  text: string
  revision: number | undefined
  /** Whether it is the last reading of the run. */
  final: boolean
}
