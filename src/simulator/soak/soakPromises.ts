/**
 * Statuses that promise that the request has not run and never will.
 */
export const soakPromises: ReadonlySet<number> = new Set([408, 421, 429, 503])
