/**
 * The monotonic clock of a daemon. Wall time is for logs and for the hours in intents only.
 */
export function clockMs(): number {
  return performance.now()
}
