/**
 * One sending of an operator's order. An order is told by its tag, which stands in the content of the network
 * that it makes; every time it is sent is an attempt.
 */
export interface OrderAttempt {
  readonly tag: number
  readonly ifMatch: number
  readonly revision: number
  readonly fromMs: number
  /** When its caller had an answer or left. */
  toMs: number
  /** 0 for no clear answer. */
  status: number
}
