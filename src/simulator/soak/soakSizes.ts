/**
 * The sizes of a soak's scene by name. A machine of eight cores bears the large one alone.
 */
import type { SoakSize } from './SoakSize.js'

const small: SoakSize = {
  gateways: 5,
  scrollServers: 3,
  keptClients: 16,
  slowClients: 5,
  leastStops: 2,
  mostStops: 3,
  leastGapMs: 500,
  mostGapMs: 2000,
}
const large: SoakSize = {
  gateways: 40,
  scrollServers: 8,
  keptClients: 100,
  slowClients: 25,
  leastStops: 8,
  mostStops: 16,
  leastGapMs: 100,
  mostGapMs: 500,
}

export const soakSizes = { small, large } as const
