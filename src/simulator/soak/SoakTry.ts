/**
 * One try of a request as its client saw it.
 */
export interface SoakTry {
  id: string
  /** What was asked for in all its tries. */
  ask: number
  route: 'live' | 'long' | 'check' | 'book' | 'scroll'
  model: string
  adapter: string
  gateway: string
  /** True of a request on a connection that its client had used before. */
  reused: boolean
  dueMs: number
  sentMs: number
  endMs: number
  /** 0 when no head came. */
  status: number
  seal: string
  answeredId: string
  body: string
  /** Whether the answer ended as its framing says. */
  whole: boolean
  why: string
}
