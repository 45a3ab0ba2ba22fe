/**
 * What the dispatcher asks of its planner: the wants of the moment, which it enacts server by server, what a
 * load is likely to take, and whether a victim may still make way when its turn comes.
 */
import type { Relaxation } from './Relaxation.js'
import type { ResidentModel } from './ResidentModel.js'
import type { Want } from './Want.js'
import type { ModelServer } from './ModelServer.js'

export interface Placer {
  readonly wants: readonly Want[]
  arrived: (model: string, adapter: string, count: number, atMs: number) => void
  learn: (model: string, tookMs: number) => void
  thetaMs: (model: string, sizeMb: number) => number
  tick: (hour: number, nowMs: number) => void
  residents: (modelServer: ModelServer, adapters: boolean, nowMs: number) => ResidentModel[]
  stillMakesWay: (modelServer: ModelServer, key: string, adapters: boolean, relaxed: Relaxation, nowMs: number) => boolean
}
