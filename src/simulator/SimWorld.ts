/**
 * What the parts of one simulated run share: its options, the virtual clock, the seeded random source, the network, and
 * the observations from outside that the invariant checker judges.
 */
import { digest } from '../common/digest.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import type { Observation } from './Observation.js'
import { SimClock } from './SimClock.js'
import { SimNetwork } from './SimNetwork.js'
import type { SimOptions } from './SimOptions.js'

const bounds = { charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 }
const firstPort = 1000
const subnets = 250

export class SimWorld {
  readonly options: SimOptions
  readonly bounds = bounds
  readonly timings = Timings(bounds)
  readonly clock = new SimClock()
  readonly random: Random
  readonly network: SimNetwork
  readonly observations: Observation[] = []
  /** Where processes that start now look first. */
  seeds: string[] = []
  /** The system that agents which start now are told to follow; any, at first. */
  system = ''
  #ports = firstPort

  constructor(options: SimOptions) {
    this.options = options
    this.random = new Random(options.seed)
    this.network = new SimNetwork(this.clock, this.random.fork(), this.timings.connectionDeadMs)
    this.network.resets = options.broken !== 'resets' && options.broken !== 'staleRenewals'
    this.network.overdue = (message, ageMs) => {
      this.see({ kind: 'overdue', atMs: this.clock.nowMs, message: message.kind, ageMs })
    }
    this.network.meter = options.meter
  }

  /** Notes what is seen from outside of the system. */
  readonly see = (observation: Observation): void => {
    this.observations.push(observation)
    this.clock.note(observation.kind)
  }

  /** An address that no process had before. */
  freshAddress(host: string): string {
    this.#ports += 1
    return `10.0.${String(digest(host) % subnets)}.1:${String(this.#ports)}`
  }
}
