/**
 * A moment at which a gateway said that it is ready.
 */
export interface SoakReadiness {
  gateway: string
  atMs: number
}
