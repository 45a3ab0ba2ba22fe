/**
 * The parts of a control node's state machine, made and connected.
 */
import type { Random } from '../common/Random.js'
import type { Timings } from '../common/Timings.js'
import { PeerDirectory } from '../consensus/PeerDirectory.js'
import { Raft } from '../consensus/Raft.js'
import { Relay } from '../consensus/Relay.js'
import { ClusterIdentity } from './ClusterIdentity.js'
import { ConsensusOutput } from './ConsensusOutput.js'
import { ControlContext } from './ControlContext.js'
import { ControlDiscovery } from './ControlDiscovery.js'
import type { ControlPlan } from './ControlPlan.js'
import { CoreAccount } from './CoreAccount.js'
import { CoreMembership } from './CoreMembership.js'
import { NodeLeases } from './NodeLeases.js'
import { OperatorRequests } from './OperatorRequests.js'
import { SchedulerLeases } from './SchedulerLeases.js'
import { SchedulerRole } from './SchedulerRole.js'
import { ServerListSync } from './ServerListSync.js'

const nonceLimit = 1e9
/** A node that answered none of so many probes is not there. */
const lateProbes = 4

export class ControlParts {
  readonly raft: Raft
  readonly directory: PeerDirectory
  readonly context: ControlContext
  readonly output: ConsensusOutput
  readonly cluster: ClusterIdentity
  readonly membership: CoreMembership
  readonly discovery: ControlDiscovery
  readonly schedulerLeases: SchedulerLeases
  readonly schedulerRole: SchedulerRole
  readonly serverList: ServerListSync
  readonly nodeLeases: NodeLeases
  /** Sends updates of the table down the relay tree. */
  readonly relay: Relay
  readonly account: CoreAccount
  readonly requests: OperatorRequests

  constructor(plan: ControlPlan, timings: Timings, random: Random, disk: readonly Uint8Array[], nowMs: number) {
    const foundingSeeds = plan.seats.length === 0 && plan.bootstrap ? plan.seeds : []
    const otherSeeds = plan.seeds.filter((seed) => seed !== plan.address)
    this.raft = new Raft(plan.name, timings, random.fork(), disk, nowMs, foundingSeeds)
    this.directory = new PeerDirectory(plan.name, otherSeeds, lateProbes * timings.probeMs)
    const votesRandom = random.fork()
    const context = new ControlContext(plan, timings, this.raft, this.directory, random.below(nonceLimit))
    this.context = context
    const logBytes = disk.reduce((sum, record) => sum + record.length, 0)
    this.output = new ConsensusOutput(context, logBytes)
    this.cluster = new ClusterIdentity(context)
    this.membership = this.#makeMembership()
    this.discovery = new ControlDiscovery(context, this.cluster, this.membership)
    this.schedulerLeases = new SchedulerLeases(context)
    this.schedulerRole = new SchedulerRole(context, this.schedulerLeases, votesRandom)
    this.serverList = new ServerListSync(context)
    this.nodeLeases = new NodeLeases(context, this.serverList, this.schedulerRole)
    this.relay = new Relay(timings.leaseMs)
    this.account = new CoreAccount(context, this.nodeLeases.desk)
    this.requests = this.#makeRequests()
  }

  #makeMembership(): CoreMembership {
    const { context } = this
    return new CoreMembership(context.plan, context.timings, this.raft, this.directory, {
      send: (toAddress, message) => {
        context.send(toAddress, message)
      },
      say: (sentence) => {
        context.say('raft', sentence)
      },
      leaderAddress: () => context.leaderAddress,
    })
  }

  #makeRequests(): OperatorRequests {
    const scheduler = () => this.schedulerRole.scheduler
    return new OperatorRequests(this.context, {
      get dispatches() {
        return scheduler() !== undefined
      },
      delivered: (outcome, nowMs) => this.nodeLeases.delivered(outcome.stamp, nowMs),
      nodes: (nowMs) => this.account.nodes(this.nodeLeases.names, nowMs),
      servers: () => this.account.servers(),
      leaves: () => this.account.leaves(),
      placement: (nowMs) => this.account.placement(scheduler(), nowMs),
    })
  }
}
