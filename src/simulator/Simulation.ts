/**
 * The whole system in one process under virtual time, from one seed: the daemons' own machines over
 * a simulated network, disks and clocks, with stand-ins for servers, platform, callers and operators.
 * The run is calm, then faulty, then quiet; what was observed from outside goes to the invariant checker.
 */
import { ControlOutages } from './ControlOutages.js'
import { SimCallers } from './SimCallers.js'
import { SimControlEffects } from './SimControlEffects.js'
import { SimControlPlane } from './SimControlPlane.js'
import { SimDataPlane } from './SimDataPlane.js'
import { SimOperators } from './SimOperators.js'
import type { SimOptions } from './SimOptions.js'
import { SimServerFleet } from './SimServerFleet.js'
import { SimWorld } from './SimWorld.js'

const checkMs = 50

export class Simulation extends SimWorld {
  readonly fleet: SimServerFleet
  readonly dataPlane: SimDataPlane
  readonly controlPlane: SimControlPlane
  readonly callers: SimCallers
  readonly operators: SimOperators

  constructor(options: SimOptions) {
    super(options)
    this.callers = new SimCallers(this)
    this.operators = new SimOperators(this)
    this.fleet = new SimServerFleet(this)
    this.dataPlane = new SimDataPlane(this, this.fleet, this.callers)
    const effects = new SimControlEffects(this, this.fleet, this.operators)
    this.controlPlane = new SimControlPlane(this, this.dataPlane, effects)
    this.#addNodes()
    this.#watch()
    for (const name of this.controlPlane.nodes.keys()) this.controlPlane.start(name)
    for (const name of this.dataPlane.agents.keys()) this.dataPlane.start(name)
  }

  #addNodes(): void {
    const { controlNodes, proxies, servers } = this.options.deployment
    for (const { name, zone } of controlNodes) this.controlPlane.add(name, zone)
    this.seeds = [...this.controlPlane.nodes.values()].map((node) => node.address)
    for (const { name, zone } of proxies) this.dataPlane.add(name, zone)
    for (const server of servers) {
      this.fleet.add(server)
      this.fleet.start(server.name)
    }
  }

  #watch(): void {
    const outages = new ControlOutages(this, this.controlPlane, this.dataPlane)
    this.clock.every(checkMs, () => {
      outages.check()
    })
    this.clock.every(checkMs, () => {
      this.fleet.advance()
    })
  }
}
