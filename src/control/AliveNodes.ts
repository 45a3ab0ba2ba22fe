/**
 * The nodes whose leases may be alive, in the order of their names, and a digest of them. The list is made
 * again only when a node came, moved or may have fallen silent, not at every renewal.
 */
import { digest } from '../common/digest.js'
import type { Leases } from '../consensus/Leases.js'

interface AliveNode {
  name: string
  address: string
  role: 'agent'
  zone: string
}

export class AliveNodes {
  readonly #leases: Leases
  #nodes: readonly AliveNode[] = []
  #byName = new Map<string, AliveNode>()
  #sum = 0
  /** Until then each node of the list is alive even if none is heard again. */
  #sureUntilMs = -Infinity

  constructor(leases: Leases) {
    this.#leases = leases
  }

  /** A new leader knows of none. */
  clear(): void {
    this.#sureUntilMs = -Infinity
  }

  /** Takes note of a node that has just renewed its lease. */
  heard(name: string, address: string, zone: string): void {
    const known = this.#byName.get(name)
    if (known?.address !== address || known.zone !== zone) this.#sureUntilMs = -Infinity
  }

  list(nowMs: number): { nodes: readonly AliveNode[]; sum: number } {
    if (nowMs > this.#sureUntilMs) this.#make(nowMs)
    return { nodes: this.#nodes, sum: this.#sum }
  }

  #make(nowMs: number): void {
    const alive = this.#leases.seats.filter(([name]) => this.#leases.alive(name, nowMs))
    this.#nodes = alive
      .map(([name, held]) => ({ name, address: held.address, role: 'agent' as const, zone: held.zone }))
      .sort((a, b) => (a.name < b.name ? -1 : 1))
    this.#byName = new Map(this.#nodes.map((node) => [node.name, node]))
    this.#sum = digest(JSON.stringify(this.#nodes))
    this.#sureUntilMs = alive.reduce((least, [name]) => Math.min(least, this.#leases.aliveUntilMs(name)), Infinity)
  }
}
