/**
 * Which servers the platform's own list takes away while the core is silent about the platform. The list
 * only ever takes away: a server it marks, lacks or has at another address is barred, a server that it
 * alone knows is not used, and what the core has told to drain stays drained. Once the core has read the
 * list again and its news are here, the core's word holds.
 */
import { Timings } from '../common/Timings.js'
import { PlatformServer } from '../common/PlatformServer.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'

export class Barrier {
  readonly #timings: Timings
  #list: readonly PlatformServer[] | undefined
  #coreReadMs: number
  #levelStamp = 0
  #askAtMs = -Infinity

  constructor(timings: Timings, nowMs: number) {
    this.#timings = timings
    this.#coreReadMs = nowMs
  }

  /** A lease tells how long ago the core's rows were the platform's list, and the stamp that has them. */
  core(readMs: number, stamp: number): void {
    if (readMs < this.#coreReadMs) return
    this.#coreReadMs = readMs
    this.#levelStamp = stamp
  }

  told(servers: readonly PlatformServer[]): void {
    this.#list = servers
  }

  /** True when this machine is to read the list itself now. */
  asks(nowMs: number): boolean {
    if (!this.#silent(nowMs) || nowMs < this.#askAtMs) return false
    this.#askAtMs = nowMs + this.#timings.platformMs
    return true
  }

  barred(copy: ReplicaTable, nowMs: number): string[] {
    if (!this.#silent(nowMs) && copy.stamp >= this.#levelStamp) this.#list = undefined
    if (this.#list === undefined) return []
    const listed = new Map(this.#list.map((one) => [one.name, one]))
    return copy.under('server/').flatMap(([name, value]) => {
      const one = listed.get(name)
      return one === undefined || one.draining || one.address !== PlatformServer.parse(JSON.parse(value)).address ? [name] : []
    })
  }

  #silent(nowMs: number): boolean {
    return nowMs - this.#coreReadMs > this.#timings.platformSilentMs
  }
}
