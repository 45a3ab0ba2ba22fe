/**
 * What the soak's operator asks for: routes, services, models and the pace of the store of weights.
 */
export interface SoakNetwork {
  revision: number
  routes: readonly {
    name: string
    host: string
    prefix: string
    kind: 'repeatable' | 'once' | 'stream' | 'resumable'
    service: string
    timeoutMs: number
    aimMs: number
  }[]
  services: readonly { name: string; capacity: number; connections: number }[]
  batch: {
    service: string
    models: readonly { name: string; sizeMb: number; loadMs: number; adapters: number }[]
    adapterMb: number
    roomMb: number
    adapterPlaces: number
    loadsPerS: number
  }
}
