/**
 * What must hold of every placement, checked anew from the tables once a second and counted where it doesn't:
 *
 * - `turn`: a model that requests wait for, held nowhere and whose turn has come, is not left out while a server that is
 *   free of orders holds enough that had its turn. Otherwise models starve.
 * - `throughput`: the bound of loads at once does not hold loads up for a whole span in which less than half of what the
 *   store's pace allows has begun. Otherwise the bound does not fit the time that loads take.
 * - `room`: a server with a load under way has room for it beside all that it holds, also beside models that the configuration no
 *   longer lists. Otherwise the server fails.
 */
import type { Order } from '../common/Order.js'
import type { Demand } from './Demand.js'
import { keyOf } from './keyOf.js'
import { ModelServer } from './ModelServer.js'
import type { ServerInventory } from './ServerInventory.js'
import type { Want } from './Want.js'

type Inventory = Pick<ServerInventory, 'all' | 'fleet' | 'coming' | 'planOf'> & {
  known: (modelServer: ModelServer, nowMs: number) => boolean
}
type Checked = Pick<Demand, 'wants' | 'unmet' | 'isItsTurn' | 'hadTheirTurn'>
const checkMs = 1000
const spanMs = 5000
const leastRatio = 0.5
/** A want may be left out for so many checks in a row: orders under way end and plans are made anew meanwhile. */
const bearableChecks = 2
/** What sums of sizes may be off by, as they are no whole numbers. */
const roundingMb = 1

export class PlacementInvariants {
  violations = 0
  readonly #inventory: Inventory
  readonly #demand: Checked
  readonly #leftOut = new Map<string, number>()
  #checkedMs = -Infinity
  #heldUpSinceMs: number | undefined
  #loadsThen = 0
  /** The load at each server that was last found to exceed its room. */
  readonly #exceeding = new Map<string, Order>()

  constructor(inventory: Inventory, demand: Checked) {
    this.#inventory = inventory
    this.#demand = demand
  }

  /** A sentence for each violation found at this check. */
  check(loadsStarted: number, nowMs: number): string[] {
    if (nowMs - this.#checkedMs < checkMs) return []
    this.#checkedMs = nowMs
    const found = [...this.#starved(nowMs), ...this.#heldUp(loadsStarted, nowMs), ...this.#exceedsRoom()]
    this.violations += found.length
    return found
  }

  #starved(nowMs: number): string[] {
    const found: string[] = []
    const leftOut = new Set<string>()
    for (const want of this.#demand.wants) {
      if (want.kind !== 'held' || !this.#isLeftOut(want, nowMs)) continue
      const key = keyOf(want.model, want.adapter)
      leftOut.add(key)
      const checks = (this.#leftOut.get(key) ?? 0) + 1
      this.#leftOut.set(key, checks)
      if (checks === bearableChecks + 1) found.push(`turn: ${key} waits although what had its turn could make way for it`)
    }
    for (const key of this.#leftOut.keys()) if (!leftOut.has(key)) this.#leftOut.delete(key)
    return found
  }

  #isLeftOut(want: Want, nowMs: number): boolean {
    if (want.adapter !== '' || !this.#demand.isItsTurn(want, nowMs) || this.#inventory.coming(want.model, want.adapter)) return false
    const plan = this.#inventory.planOf(want.model)
    if (plan === undefined) return false
    return this.#inventory.all.some((modelServer) => {
      if (!this.#mayBeOrdered(modelServer, nowMs) || modelServer.owner !== plan.owner) return false
      if (modelServer.roomMb < plan.sizeMb || modelServer.report?.models.some((one) => one.model === want.model) === true) return false
      const wayMb = this.#demand.hadTheirTurn(modelServer, false, nowMs).reduce((sum, one) => sum + one.size, 0)
      return ModelServer.freeMb(modelServer) + wayMb >= plan.sizeMb
    })
  }

  #mayBeOrdered(modelServer: ModelServer, nowMs: number): boolean {
    const isIdle = modelServer.task === undefined && modelServer.plan === undefined && nowMs >= modelServer.backoffUntilMs
    return isIdle && modelServer.open && this.#inventory.known(modelServer, nowMs)
  }

  #heldUp(loadsStarted: number, nowMs: number): string[] {
    if (this.#demand.unmet.count('storeConcurrency') === 0) {
      this.#heldUpSinceMs = undefined
      return []
    }
    if (this.#heldUpSinceMs === undefined) {
      this.#heldUpSinceMs = nowMs
      this.#loadsThen = loadsStarted
      return []
    }
    if (nowMs - this.#heldUpSinceMs < spanMs) return []
    const begun = loadsStarted - this.#loadsThen
    const allowed = ((this.#inventory.fleet?.store.perS ?? 0) * (nowMs - this.#heldUpSinceMs)) / 1000
    this.#heldUpSinceMs = nowMs
    this.#loadsThen = loadsStarted
    if (begun >= leastRatio * allowed) return []
    return [`throughput: the bound of loads at once let ${String(begun)} loads begin where the store allows ${String(Math.floor(allowed))}`]
  }

  #exceedsRoom(): string[] {
    const found: string[] = []
    for (const modelServer of this.#inventory.all) {
      const { name, task } = modelServer
      const exceeds = task?.order.kind === 'load' && ModelServer.freeMb(modelServer) < -roundingMb
      if (!exceeds) this.#exceeding.delete(name)
      else if (this.#exceeding.get(name) !== task.order) {
        this.#exceeding.set(name, task.order)
        found.push(`room: ${name} loads ${task.order.model}, ${String(-ModelServer.freeMb(modelServer))} MB more than it has room for`)
      }
    }
    for (const name of this.#exceeding.keys()) if (!this.#inventory.all.some((one) => one.name === name)) this.#exceeding.delete(name)
    return found
  }
}
