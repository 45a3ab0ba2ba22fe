/**
 * Whether a server can't listen because somebody else has its address.
 */
export function isAddressTaken(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE'
}
