/**
 * Cuts of one machine that last, as real ones do: both ways or one, the process restarted meanwhile.
 */
import type { Fault } from './Fault.js'
import type { Simulation } from './Simulation.js'

type Direction = 'both' | 'outward' | 'inward'

function hosts(sim: Simulation): string[] {
  return [...sim.boxes.keys(), ...[...sim.agents.keys()].map((name) => `host-${name}`), ...sim.servers.keys()]
}

function leader(sim: Simulation): string | undefined {
  return [...sim.boxes].find(([, { process }]) => process.machine?.raft.phase === 'leader')?.[0]
}

function cutOff(sim: Simulation, host: string, others: readonly string[], direction: Direction): () => void {
  const outward = direction === 'inward' ? [] : others.map((other) => sim.network.cut(host, other))
  const inward = direction === 'outward' ? [] : others.map((other) => sim.network.cut(other, host))
  return () => {
    for (const mend of [...outward, ...inward]) mend()
  }
}

/** A control node, often the leader, cut off from the others and from whatever else is named. */
function controlNode(direction: Direction, from: (sim: Simulation) => readonly string[], restarts: boolean): Fault {
  return (sim) => {
    const some = sim.random.pick([...sim.boxes.keys()]) ?? ''
    const box = sim.random.hit(0.5) ? (leader(sim) ?? some) : some
    const end = cutOff(
      sim,
      box,
      from(sim).filter((one) => one !== box),
      direction,
    )
    if (restarts)
      sim.clock.after(sim.random.between(0.1, 0.7) * sim.options.faultMs, () => {
        sim.killBox(box, sim.random.hit(0.5))
        sim.clock.after(sim.random.between(50, 800), () => {
          sim.startBox(box)
        })
      })
    return end
  }
}

const boxes = (sim: Simulation): string[] => [...sim.boxes.keys()]

export const cutFaults: Readonly<Record<string, Fault>> = {
  'control-cut-both': controlNode('both', hosts, false),
  'control-cut-outward': controlNode('outward', hosts, false),
  'control-cut-inward': controlNode('inward', hosts, false),
  'control-cut-restarted': controlNode('both', hosts, true),
  'control-cut-outward-restarted': controlNode('outward', hosts, true),
  /** A leader in the minority that gateways still reach. */
  'leader-cut-from-voters': (sim) => {
    const box = leader(sim) ?? boxes(sim)[0] ?? ''
    return cutOff(
      sim,
      box,
      boxes(sim).filter((one) => one !== box),
      'both',
    )
  },
  /** Renewals of the former life are still on their way when the new one's come. */
  'post-cut-restarted': (sim) => {
    const post = sim.random.pick([...sim.agents.keys()]) ?? ''
    const end = cutOff(sim, `host-${post}`, boxes(sim), 'outward')
    sim.clock.after(0.5 * sim.options.faultMs, () => {
      sim.killProxy(post)
      sim.killAgent(post)
      sim.clock.after(200, () => {
        sim.startPost(post)
      })
    })
    return end
  },
}
