/**
 * One trouble of a soak: what it is, to whom, and from when to when after traffic has begun.
 */
export interface Trouble {
  kind: 'kill' | 'freeze' | 'cut' | 'cutOut' | 'loseOrders' | 'loseOperators' | 'crashServer' | 'slowServer' | 'breakAnswers'
  /** A process or a server; empty when it is about all of them. */
  target: string
  fromMs: number
  toMs: number
}
