/**
 * The gateway's entity for one life of a server: what the shared table says of it, what this gateway has
 * sent there, and what it has found out by itself. `kept` holds the chains of prompt parts that it sent there last.
 */
export interface Server {
  name: string
  address: string
  zone: string
  service: string
  capacity: number
  draining: boolean
  cold: boolean
  models: ReadonlySet<string>
  adapters: ReadonlySet<string>
  flights: number
  /** What this gateway last told of its flights there, and what all others have there, as far as was told. */
  toldFlights: number
  others: number
  firstByteMs: number
  /** When anything last came from it to this gateway. */
  heardMs: number
  suspectUntilMs: number
  defects: number
  coldTokens: number
  coldAtMs: number
  kept: Map<string, number>
}
