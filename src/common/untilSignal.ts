/**
 * Resolves with the first SIGTERM or SIGINT. A further SIGTERM changes nothing, so that it can't cut what the first one's stop still
 * waits for; a second SIGINT, of somebody at a terminal, ends the process at once.
 */
export function untilSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.on('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
}
