/**
 * What is known about a request that did not end in a whole response: it certainly did not run, it
 * may have run, or it ran. Only NotRun, or a request that the charter calls repeatable, may be sent
 * again.
 */
export const Verdict = { notRun: 'NotRun', mayHaveRun: 'MayHaveRun', ran: 'Ran' } as const
export type Verdict = (typeof Verdict)[keyof typeof Verdict]
