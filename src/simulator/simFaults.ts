/**
 * The faults that a simulated run can bring about. Each begins when it is called and returns what
 * ends it; a fault picks its victim by the run's seed.
 */
import { callerFaults } from './callerFaults.js'
import { charterFaults } from './charterFaults.js'
import { cutFaults } from './cutFaults.js'
import type { Fault } from './Fault.js'
import { hostsOf } from './hostsOf.js'
import { serverFaults } from './serverFaults.js'
import type { Simulation } from './Simulation.js'

const nothing = () => undefined

function leader(sim: Simulation): string {
  let best = { name: [...sim.controlPlane.nodes.keys()][0] ?? '', term: -1 }
  for (const [name, { process }] of sim.controlPlane.nodes) {
    const raft = process.machine?.raft
    if (raft?.phase === 'leader' && raft.term > best.term) best = { name, term: raft.term }
  }
  return best.name
}
const dispatcher = (sim: Simulation): string =>
  [...sim.controlPlane.nodes].find(([, { process }]) => process.machine?.dispatcher !== undefined)?.[0] ?? leader(sim)
const anyControlNode = (sim: Simulation): string => sim.random.pick([...sim.controlPlane.nodes.keys()]) ?? ''
const anyDataNode = (sim: Simulation): string => sim.random.pick([...sim.dataPlane.proxies.keys()]) ?? ''
function cutWays(sim: Simulation, ways: readonly (readonly [string, string])[]): () => void {
  const mends = ways.map(([from, to]) => sim.network.cut(from, to))
  return () => {
    for (const mend of mends) mend()
  }
}
function cutBoth(sim: Simulation, some: readonly string[], others: readonly string[]): () => void {
  return cutWays(
    sim,
    some.flatMap((one) => others.flatMap((other) => [[one, other] as const, [other, one] as const])),
  )
}
function killed(sim: Simulation, controlNode: string, power: boolean): () => void {
  sim.controlPlane.kill(controlNode, power)
  return () => {
    sim.controlPlane.start(controlNode)
  }
}
function frozen(process: { freeze: () => void; wake: () => void } | undefined): () => void {
  process?.freeze()
  return () => {
    process?.wake()
  }
}

const systemFaults: Record<string, Fault> = {
  'jump-clocks': (sim) => {
    for (const controlNode of sim.controlPlane.nodes.keys()) sim.controlPlane.hoursOff.set(controlNode, sim.random.between(-30, 30))
    return () => {
      sim.controlPlane.hoursOff.clear()
    }
  },
  'cut-dispatcher-from-servers': (sim) => cutBoth(sim, [dispatcher(sim)], [...sim.fleet.servers.keys()]),
  'cut-posts-from-core': (sim) => {
    const dataNodes = [...sim.dataPlane.agents.keys()].map((name) => `host-${name}`)
    return cutBoth(
      sim,
      dataNodes.filter((_, at) => at * 2 <= dataNodes.length),
      [...sim.controlPlane.nodes.keys()],
    )
  },
  'swap-seeds': (sim) => {
    const controlNode = anyControlNode(sim)
    sim.controlPlane.replace(controlNode)
    const [dataNode, agent] = sim.random.pick([...sim.dataPlane.agents]) ?? []
    if (dataNode === undefined || agent === undefined) return nothing
    const others = [...sim.dataPlane.agents].filter(([name]) => name !== dataNode).map(([, one]) => one.address)
    sim.seeds = others.slice(0, 3)
    sim.dataPlane.kill(dataNode)
    sim.clock.after(sim.options.faultMs / 4, () => {
      sim.dataPlane.start(dataNode)
      sim.controlPlane.start(controlNode)
    })
    return () => {
      sim.dataPlane.start(dataNode)
      sim.controlPlane.start(controlNode)
    }
  },
  'power-at-write': (sim) => {
    let open = true
    for (const [name, controlNode] of sim.controlPlane.nodes) {
      let left = sim.random.below(12)
      controlNode.disk.watch = () => {
        left -= 1
        if (!open || left >= 0) return
        controlNode.disk.watch = undefined
        const alive = [...sim.controlPlane.nodes.values()].filter((one) => one.process.alive).length
        if (alive < sim.controlPlane.nodes.size) return
        sim.clock.after(sim.random.hit(0.3) ? 0 : sim.random.between(0, 4), () => {
          sim.controlPlane.kill(name, true)
          sim.clock.after(sim.random.between(100, 900), () => {
            sim.controlPlane.start(name)
          })
        })
      }
    }
    return () => {
      open = false
    }
  },
  'fail-disk': (sim) => {
    const name = sim.random.hit(0.5) ? leader(sim) : anyControlNode(sim)
    const controlNode = sim.controlPlane.nodes.get(name)
    if (controlNode === undefined) return nothing
    controlNode.disk.watch = () => {
      controlNode.disk.watch = undefined
      sim.controlPlane.kill(name, false)
    }
    return () => {
      controlNode.disk.watch = undefined
      sim.controlPlane.start(name)
    }
  },
  'lose-two-disks': (sim) => {
    const survivor = leader(sim)
    const lost = [...sim.controlPlane.nodes.keys()].filter((name) => name !== survivor)
    const kept = lost.map((name) => ({ name, records: sim.controlPlane.nodes.get(name)?.disk.records ?? [] }))
    for (const name of lost) sim.controlPlane.replace(name)
    sim.controlPlane.kill(survivor, false)
    return () => {
      sim.controlPlane.refound(survivor)
      for (const name of sim.dataPlane.agents.keys()) {
        sim.dataPlane.kill(name)
        sim.dataPlane.start(name)
      }
      for (const name of sim.controlPlane.nodes.keys()) sim.controlPlane.start(name)
      if (sim.random.hit(0.7)) for (const old of kept) sim.controlPlane.wakeReplaced(old.name, old.records)
    }
  },
  'roll-processes': (sim) => {
    const waitMs = sim.options.faultMs / (sim.controlPlane.nodes.size + sim.dataPlane.agents.size)
    let atMs = 0
    const next = (stop: () => void, start: () => void) => {
      sim.clock.after(atMs, () => {
        stop()
        sim.clock.after(waitMs / 3, start)
      })
      atMs += waitMs
    }
    for (const controlNode of sim.controlPlane.nodes.keys())
      next(
        () => {
          sim.controlPlane.kill(controlNode, false)
        },
        () => {
          sim.controlPlane.start(controlNode)
        },
      )
    for (const dataNode of sim.dataPlane.agents.keys()) {
      next(
        () => {
          sim.dataPlane.kill(dataNode)
        },
        () => {
          sim.dataPlane.start(dataNode)
        },
      )
    }
    return nothing
  },
  'kill-leader': (sim) => killed(sim, leader(sim), true),
  'kill-box': (sim) => killed(sim, anyControlNode(sim), sim.random.hit(0.5)),
  'freeze-leader': (sim) => frozen(sim.controlPlane.nodes.get(leader(sim))?.process),
  'freeze-box': (sim) => frozen(sim.controlPlane.nodes.get(anyControlNode(sim))?.process),
  'freeze-dispatcher': (sim) => frozen(sim.controlPlane.nodes.get(dispatcher(sim))?.process),
  'kill-dispatcher': (sim) => killed(sim, dispatcher(sim), false),
  'lose-disk': (sim) => {
    const controlNode = sim.random.hit(0.5) ? leader(sim) : anyControlNode(sim)
    sim.controlPlane.replace(controlNode)
    return () => {
      sim.controlPlane.start(controlNode)
    }
  },
  'stall-disk': (sim) => {
    const disk = sim.controlPlane.nodes.get(leader(sim))?.disk
    if (disk !== undefined) disk.stalledUntilMs = sim.clock.nowMs + sim.options.faultMs
    return nothing
  },
  'slow-disks': (sim) => {
    for (const { disk } of sim.controlPlane.nodes.values()) disk.stalledUntilMs = sim.clock.nowMs + sim.options.faultMs / 4
    return nothing
  },
  'split-core': (sim) =>
    cutBoth(
      sim,
      [leader(sim)],
      [...sim.controlPlane.nodes.keys()].filter((one) => one !== leader(sim)),
    ),
  'cut-leader-off': (sim) =>
    cutBoth(
      sim,
      [leader(sim)],
      hostsOf(sim).filter((one) => one !== leader(sim)),
    ),
  'cut-core-off': (sim) =>
    cutBoth(
      sim,
      [...sim.controlPlane.nodes.keys()],
      hostsOf(sim).filter((one) => !sim.controlPlane.nodes.has(one)),
    ),
  'cut-one-way': (sim) => {
    const from = sim.random.hit(0.5) ? leader(sim) : (sim.random.pick(hostsOf(sim)) ?? '')
    return cutWays(
      sim,
      hostsOf(sim)
        .filter((other) => other !== from)
        .map((other) => [from, other] as const),
    )
  },
  'cut-post': (sim) => {
    const dataNode = `host-${anyDataNode(sim)}`
    return cutBoth(
      sim,
      [dataNode],
      hostsOf(sim).filter((one) => one !== dataNode),
    )
  },
  'cut-post-from-core': (sim) => cutBoth(sim, [`host-${anyDataNode(sim)}`], [...sim.controlPlane.nodes.keys()]),
  'cut-post-from-system': (sim) => {
    const dataNode = `host-${anyDataNode(sim)}`
    return cutBoth(
      sim,
      [dataNode],
      hostsOf(sim).filter((one) => one !== dataNode && !sim.fleet.servers.has(one)),
    )
  },
  'slow-links': (sim) => {
    for (const host of hostsOf(sim)) if (sim.random.hit(0.4)) sim.network.slowMs.set(host, sim.random.between(5, 60))
    return () => {
      sim.network.slowMs.clear()
    }
  },
  'lossy-links': (sim) => {
    sim.network.lossRatio = 0.1
    return () => {
      sim.network.lossRatio = 0
    }
  },
  'kill-proxy': (sim) => {
    const dataNode = anyDataNode(sim)
    sim.dataPlane.killProxy(dataNode)
    return () => {
      sim.dataPlane.start(dataNode)
    }
  },
  'kill-agent': (sim) => {
    const dataNode = anyDataNode(sim)
    sim.dataPlane.killAgent(dataNode)
    return () => {
      sim.dataPlane.start(dataNode)
    }
  },
  'freeze-proxy': (sim) => frozen(sim.dataPlane.proxies.get(anyDataNode(sim))?.process),
  'freeze-agent': (sim) => frozen(sim.dataPlane.agents.get(anyDataNode(sim))?.process),
  'freeze-post': (sim) => {
    const dataNode = anyDataNode(sim)
    const ends = [frozen(sim.dataPlane.proxies.get(dataNode)?.process), frozen(sim.dataPlane.agents.get(dataNode)?.process)]
    return () => {
      for (const end of ends) end()
    }
  },
  'lose-zone': (sim) => {
    const zone = sim.random.pick(sim.options.deployment.zones) ?? ''
    const controlNodes = [...sim.controlPlane.nodes].filter(([, controlNode]) => controlNode.zone === zone).map(([name]) => name)
    const dataNodes = [...sim.dataPlane.agents].filter(([, dataNode]) => dataNode.zone === zone).map(([name]) => name)
    const servers = [...sim.fleet.servers.values()].filter((one) => one.zone === zone).map((one) => one.name)
    for (const controlNode of controlNodes) sim.controlPlane.kill(controlNode, true)
    for (const dataNode of dataNodes) {
      sim.dataPlane.kill(dataNode)
    }
    for (const server of servers) sim.fleet.crash(server)
    return () => {
      for (const controlNode of controlNodes) sim.controlPlane.start(controlNode)
      for (const dataNode of dataNodes) sim.dataPlane.start(dataNode)
      for (const server of servers) sim.fleet.start(server)
    }
  },
  'stop-all': (sim) => {
    for (const controlNode of sim.controlPlane.nodes.keys()) sim.controlPlane.kill(controlNode, true)
    for (const dataNode of sim.dataPlane.proxies.keys()) {
      sim.dataPlane.kill(dataNode)
    }
    return () => {
      for (const controlNode of sim.controlPlane.nodes.keys()) sim.controlPlane.start(controlNode)
      for (const dataNode of sim.dataPlane.proxies.keys()) sim.dataPlane.start(dataNode)
    }
  },
}

export const simFaults: Readonly<Record<string, Fault>> = {
  ...systemFaults,
  ...cutFaults,
  ...serverFaults,
  ...callerFaults,
  ...charterFaults,
}
