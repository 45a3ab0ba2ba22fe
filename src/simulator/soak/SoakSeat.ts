/**
 * A process of the product in a soak: its name, its own loopback address, and what its settings say.
 */
export interface SoakSeat {
  role: 'control' | 'gateway'
  name: string
  ip: string
  zone: string
  zones: readonly string[]
  seeds: readonly string[]
  list: string
  /** Where a control node keeps its files. */
  data: string
  bootstrap: boolean
}
