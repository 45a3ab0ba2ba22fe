/**
 * A request as its simulated caller and the servers know it.
 */
export interface SimAsk {
  service: string
  kind: 'model' | 'service'
  adapter: string
  chain: string[]
  lines: number
  askedMs: number
  request: string
  /** How long it runs, where that is not the deployment's own. */
  runMs: number | undefined
}
