/**
 * A network that was seen in force: the order that made it, and from when to when the look at it took.
 */
export interface NetworkSeen {
  readonly tag: number
  readonly revision: number
  readonly fromMs: number
  readonly toMs: number
}
