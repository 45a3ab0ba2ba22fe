/**
 * What the dispatcher asks of its planner: the wants of the moment, which it enacts server by server, what a
 * load is likely to take, and whether a victim may still make way when its turn comes.
 */
import type { Tenant } from './Tenant.js'
import type { Want } from './Want.js'
import type { Yard } from './Yard.js'

export interface Placer {
  readonly wants: readonly Want[]
  arrived: (model: string, adapter: string, count: number, atMs: number) => void
  learn: (model: string, tookMs: number) => void
  thetaMs: (model: string, sizeMb: number) => number
  tick: (hour: number, nowMs: number) => void
  tenants: (yard: Yard, adapters: boolean, nowMs: number) => Tenant[]
  stillMakesWay: (yard: Yard, key: string, adapters: boolean, relaxed: NonNullable<Yard['plan']>['relaxed'], nowMs: number) => boolean
}
