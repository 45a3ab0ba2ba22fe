/**
 * One run of a request at a server, and the body that the server gives it when nothing breaks it off.
 */
export interface SoakRun {
  id: string
  server: string
  seal: string
  atMs: number
  /** When the server had sent its whole answer, broke it off, or found its caller gone. */
  endMs: number
  /** True if the server broke its answer off itself. */
  brokenOff: boolean
  resumeAfter: number
  body: string
  /** Another server was named as the only one that may run it. */
  stray: boolean
}
