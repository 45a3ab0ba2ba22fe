/**
 * The longest turn of a process's event loop in a span of its life, as the process told it.
 */
export interface SoakTurn {
  who: string
  longestMs: number
}
