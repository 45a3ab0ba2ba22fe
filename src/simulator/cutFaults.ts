/**
 * Cuts of one machine that last, as real ones do: both ways or one, the process restarted meanwhile.
 */
import type { Fault } from './Fault.js'
import { hostsOf } from './hostsOf.js'
import type { Simulation } from './Simulation.js'

type Direction = 'both' | 'outward' | 'inward'

function leader(sim: Simulation): string | undefined {
  return [...sim.controlPlane.nodes].find(([, { process }]) => process.machine?.raft.phase === 'leader')?.[0]
}

function cutOff(sim: Simulation, host: string, others: readonly string[], direction: Direction): () => void {
  const outward = direction === 'inward' ? [] : others.map((other) => sim.network.cut(host, other))
  const inward = direction === 'outward' ? [] : others.map((other) => sim.network.cut(other, host))
  return () => {
    for (const mend of [...outward, ...inward]) mend()
  }
}

/** A control node, often the leader, cut off from the others and from whatever else is named. */
function controlNodeCut(direction: Direction, from: (sim: Simulation) => readonly string[], restarts: boolean): Fault {
  return (sim) => {
    const some = sim.random.pick([...sim.controlPlane.nodes.keys()]) ?? ''
    const controlNode = sim.random.hit(0.5) ? (leader(sim) ?? some) : some
    const end = cutOff(
      sim,
      controlNode,
      from(sim).filter((one) => one !== controlNode),
      direction,
    )
    if (restarts)
      sim.clock.after(sim.random.between(0.1, 0.7) * sim.options.faultMs, () => {
        sim.controlPlane.kill(controlNode, sim.random.hit(0.5))
        sim.clock.after(sim.random.between(50, 800), () => {
          sim.controlPlane.start(controlNode)
        })
      })
    return end
  }
}

const controlNodes = (sim: Simulation): string[] => [...sim.controlPlane.nodes.keys()]

export const cutFaults: Readonly<Record<string, Fault>> = {
  'control-cut-both': controlNodeCut('both', hostsOf, false),
  'control-cut-outward': controlNodeCut('outward', hostsOf, false),
  'control-cut-inward': controlNodeCut('inward', hostsOf, false),
  'control-cut-restarted': controlNodeCut('both', hostsOf, true),
  'control-cut-outward-restarted': controlNodeCut('outward', hostsOf, true),
  /** A leader in the minority that gateways still reach. */
  'leader-cut-from-voters': (sim) => {
    const controlNode = leader(sim) ?? controlNodes(sim)[0] ?? ''
    return cutOff(
      sim,
      controlNode,
      controlNodes(sim).filter((one) => one !== controlNode),
      'both',
    )
  },
  /** Renewals of the former life are still on their way when the new one's come. */
  'post-cut-restarted': (sim) => {
    const dataNode = sim.random.pick([...sim.dataPlane.agents.keys()]) ?? ''
    const end = cutOff(sim, `host-${dataNode}`, controlNodes(sim), 'outward')
    sim.clock.after(0.5 * sim.options.faultMs, () => {
      sim.dataPlane.kill(dataNode)
      sim.clock.after(200, () => {
        sim.dataPlane.start(dataNode)
      })
    })
    return end
  },
}
