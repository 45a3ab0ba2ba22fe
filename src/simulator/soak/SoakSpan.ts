/**
 * A span of time in which someone was in trouble: a process, a server, or the soak itself, which was late.
 */
export interface SoakSpan {
  who: string
  kind: string
  fromMs: number
  toMs: number
}
