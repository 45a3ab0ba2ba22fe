/**
 * Watches for the spans in which the control plane lacks a majority that can act and be heard.
 */
import type { SimControlNode } from './SimControlNode.js'
import type { SimControlPlane } from './SimControlPlane.js'
import type { SimDataPlane } from './SimDataPlane.js'
import type { SimWorld } from './SimWorld.js'

export class ControlOutages {
  readonly #world: SimWorld
  readonly #controlPlane: SimControlPlane
  readonly #dataPlane: SimDataPlane
  /** When the outage began that lasts now. */
  #fromMs: number | undefined

  constructor(world: SimWorld, controlPlane: SimControlPlane, dataPlane: SimDataPlane) {
    this.#world = world
    this.#controlPlane = controlPlane
    this.#dataPlane = dataPlane
  }

  /** Notes an outage once it has ended. */
  check(): void {
    const { clock, see } = this.#world
    const isDown = this.#isDown()
    if (isDown) this.#fromMs ??= clock.nowMs
    else if (this.#fromMs !== undefined) {
      see({ kind: 'coreDown', atMs: clock.nowMs, fromMs: this.#fromMs })
      this.#fromMs = undefined
    }
  }

  #isDown(): boolean {
    const { nodes } = this.#controlPlane
    const up = [...nodes.values()].filter((node) => this.#isUp(node))
    const isHeard = up.some((node) => this.#isHeard(node))
    return up.length * 2 <= nodes.size || !isHeard || this.#world.network.lossRatio > 0
  }

  #isUp({ process }: SimControlNode): boolean {
    const others = [...this.#controlPlane.nodes.keys()]
    return process.alive && !process.frozen && others.every((other) => this.#world.network.connected(process.host, other))
  }

  /** True of a control node that some agent can talk to. */
  #isHeard({ process: { host } }: SimControlNode): boolean {
    const { network } = this.#world
    const agents = [...this.#dataPlane.agents.values()].map((agent) => agent.process)
    return agents.some((agent) => agent.alive && network.connected(host, agent.host) && network.connected(agent.host, host))
  }
}
