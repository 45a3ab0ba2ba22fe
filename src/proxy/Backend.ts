/**
 * What a proxy knows of a server: where it is, what it may be used for, how many requests of this
 * proxy it has, how many more wait for its limit, and what this proxy has found out about it by
 * itself. `said` is the incarnation that its binding speaks of; `incarnation` the one met last.
 */
export interface Backend {
  name: string
  address: string
  zone: string
  open: boolean
  said: string
  models: ReadonlySet<string>
  adapters: ReadonlySet<string>
  flights: number
  wanting: number
  wanted: number
  incarnation: string
  coldUntilMs: number
  suspectUntilMs: number
  defects: number
  kept: Map<string, number>
}
