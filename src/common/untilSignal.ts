/**
 * Resolves with the first SIGTERM or SIGINT.
 */
export function untilSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'])
      process.once(signal, () => {
        resolve(signal)
      })
  })
}
