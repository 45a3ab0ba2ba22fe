/**
 * What a script can tell from the exit code: 0 done, 1 the core was out of reach, 3 turned away with
 * errors, 4 another operator was first, 5 undecided (ask again by the operation id), 6 not found.
 */

export function exitCode(status: number): number {
  if (status >= 200 && status < 300) return 0
  if (status === 412) return 4
  if (status === 504) return 5
  if (status === 404) return 6
  return status === 0 ? 1 : 3
}
