/**
 * The turnout's entity for a server: where it is, what it may be used for, how many requests of this
 * turnout it has, and what this turnout has found out about it by itself.
 */
export interface Platform {
  name: string
  address: string
  zone: string
  open: boolean
  models: ReadonlySet<string>
  adapters: ReadonlySet<string>
  flights: number
  incarnation: string
  coldUntilMs: number
  suspectUntilMs: number
  defects: number
  kept: Map<string, number>
}
