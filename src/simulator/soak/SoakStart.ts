/**
 * One start of a process in a soak.
 */
export interface SoakStart {
  who: string
  atMs: number
}
