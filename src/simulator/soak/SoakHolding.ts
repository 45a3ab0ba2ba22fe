/**
 * What a model server says of itself.
 */
export interface SoakHolding {
  models: readonly { name: string; adapters: readonly string[] }[]
  /** Whether an order is under way, and how many it has taken. */
  busy: boolean
  sequence: number
  waiting: number
  running: number
}
