/**
 * Runs one schedule to its end: faults and requests at their times, then calm, in which the cluster must
 * commit a new entry on all its connected voters within a bound, then the judgement of what clients saw.
 */
import { Command } from '../../consensus/Command.js'
import type { Entry } from '../../consensus/Entry.js'
import { Breach } from './Breach.js'
import { Clients } from './Clients.js'
import { Cluster } from './Cluster.js'
import type { ClusterNode } from './ClusterNode.js'
import { ClusterParts } from './ClusterParts.js'
import type { Finding } from './Finding.js'
import { linearizable } from './linearizable.js'
import type { Schedule } from './Schedule.js'
import type { ScheduleEvent } from './ScheduleEvent.js'

/** How many elections the calm may take until a new entry is committed everywhere. */
const progressElections = 6
const probeMs = 200
const settleMs = 100

export function runSchedule(schedule: Schedule, parts = ClusterParts): Finding | undefined {
  const cluster = new Cluster(schedule, parts)
  const { clock } = cluster
  const finding = (invariant: string, detail: string): Finding => ({ seed: schedule.seed, atMs: clock.nowMs, invariant, detail })
  try {
    const clients = new Clients(cluster, schedule.bulkBytes)
    cluster.watch = (node, out) => {
      clients.watch(node, out)
    }
    cluster.begin()
    for (const event of schedule.events)
      clock.at(event.atMs, () => {
        begin(event, cluster, clients)
      })
    clock.until(schedule.calmAtMs)
    cluster.calm()
    untilProgress(cluster)
    clock.until(clock.nowMs + settleMs)
    if (!linearizable(clients.calls)) throw new Breach('linearizability', JSON.stringify(clients.calls))
    return undefined
  } catch (error) {
    if (error instanceof Breach) return finding(error.invariant, error.message)
    return finding('no exception', error instanceof Error ? (error.stack ?? error.message) : String(error))
  }
}

function begin(event: ScheduleEvent, cluster: Cluster, clients: Clients): void {
  const { clock } = cluster
  const target = (name: number | 'leader'): ClusterNode | undefined => (name === 'leader' ? cluster.leaders[0] : cluster.nodes[name])
  switch (event.kind) {
    case 'cut':
      cluster.cut(event)
      break
    case 'lossy':
      cluster.lose(event.ratio, event.forMs)
      break
    case 'crash': {
      const node = target(event.target)
      if (event.when === 'now') node?.crash(event.keep, event.downMs)
      else if (node !== undefined) node.armed = { crash: event, skip: event.skip }
      break
    }
    case 'wipe': {
      const node = target(event.target)
      if (node?.raft !== undefined && cluster.invariants.mayWipe(node.raft.identity)) node.wipe(event.downMs)
      break
    }
    case 'freeze': {
      const node = target(event.target)
      if (node !== undefined) node.frozenUntilMs = clock.nowMs + event.forMs
      break
    }
    case 'stall': {
      const node = target(event.target)
      if (node !== undefined) node.disk.stalledUntilMs = clock.nowMs + event.forMs
      break
    }
    case 'slowDisk': {
      const node = target(event.target)
      if (node === undefined) break
      node.disk.slowUntilMs = clock.nowMs + event.forMs
      node.disk.slowByMs = event.byMs
      break
    }
    case 'compact':
      target(event.target)?.compact()
      break
    case 'handOver':
      cluster.handOver()
      break
    case 'join': {
      const node = cluster.nodes[event.seat]
      if (node !== undefined) cluster.join(node)
      break
    }
    case 'leave': {
      const node = target(event.target)
      if (node !== undefined) cluster.leave(node)
      break
    }
    case 'write':
      clients.write(event)
      break
    case 'read':
      clients.read(event)
      break
    case 'role':
      clients.role(event)
      break
  }
}

/** Until an entry put to the log in the calm is committed at every voter that has a disk. */
function untilProgress(cluster: Cluster): void {
  const { clock, timings, agreed } = cluster
  const boundMs = progressElections * (timings.electionMs + timings.electionSpreadMs)
  const endMs = clock.nowMs + boundMs
  const probe = Command.encode({ kind: 'vacate', duty: 'probe', epoch: 0 })
  const made: Pick<Entry, 'index' | 'term'>[] = []
  while (clock.nowMs < endMs) {
    for (const leader of cluster.leaders)
      leader.step((raft, nowMs) => {
        const index = raft.propose(probe, nowMs)
        if (index !== undefined) made.push({ index, term: raft.term })
      })
    clock.until(Math.min(endMs, clock.nowMs + probeMs))
    if (made.some(({ index, term }) => agreed.termAt(index) === term && committedEverywhere(cluster, index))) return
  }
  throw new Breach('progress', `no new entry was committed at all connected voters within ${String(Math.round(boundMs))} ms of calm`)
}

function committedEverywhere(cluster: Cluster, index: number): boolean {
  const leader = cluster.leaders.find((node) => (node.raft?.commit ?? 0) >= index)
  const voters = leader?.raft?.members.filter((one) => one.voter && cluster.invariants.intact(one.identity))
  return (
    voters?.every((voter) => cluster.nodes.some((node) => node.raft?.identity === voter.identity && node.raft.commit >= index)) === true
  )
}
