/**
 * The process was asked to stop while its start still waited for something.
 */
export class StopAskedError extends Error {
  constructor(resource: string) {
    super(`asked to stop while the start waited for ${resource}`)
    this.name = 'StopAskedError'
  }
}
