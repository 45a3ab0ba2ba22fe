/**
 * One run of a request at a server, and the body that the server gives it when nothing breaks it off.
 */
export interface SoakRun {
  id: string
  server: string
  seal: string
  atMs: number
  resumeAfter: number
  body: string
  /** Another server was named as the only one that may run it. */
  stray: boolean
}
