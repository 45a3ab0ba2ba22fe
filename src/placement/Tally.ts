/**
 * What a proxy last told the dispatcher: the stamp it works by, what it holds and what it has in flight.
 */
export interface Tally {
  session: string
  heardMs: number
  adopted: number
  held: { model: string; adapter: string; count: number; dueInMs: number }[]
  flights: { server: string; model: string; adapter: string; count: number }[]
}
