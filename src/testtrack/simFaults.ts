/**
 * The faults that a simulated run can bring about. Each begins when it is called and returns what
 * ends it; a fault picks its victim by the run's seed.
 */
import type { Simulation } from './Simulation.js'

type Fault = (sim: Simulation) => () => void
const nothing = () => undefined

function leader(sim: Simulation): string {
  let best = { name: [...sim.boxes.keys()][0] ?? '', term: -1 }
  for (const [name, { process }] of sim.boxes) {
    const agreement = process.machine?.agreement
    if (agreement?.phase === 'leader' && agreement.term > best.term) best = { name, term: agreement.term }
  }
  return best.name
}
const dispatcher = (sim: Simulation): string =>
  [...sim.boxes].find(([, { process }]) => process.machine?.dispatcher !== undefined)?.[0] ?? leader(sim)
const anyBox = (sim: Simulation): string => sim.chance.pick([...sim.boxes.keys()]) ?? ''
const anyPost = (sim: Simulation): string => sim.chance.pick([...sim.turnouts.keys()]) ?? ''
const anyServer = (sim: Simulation, kind?: 'model' | 'service'): string =>
  sim.chance.pick(
    [...sim.servers.values()].filter((one) => one.state !== undefined && (kind === undefined || one.kind === kind)).map((one) => one.name),
  ) ?? ''

function cutBoth(sim: Simulation, some: readonly string[], others: readonly string[]): () => void {
  for (const one of some)
    for (const other of others) {
      sim.network.cut(one, other)
      sim.network.cut(other, one)
    }
  return () => {
    sim.network.heal()
  }
}
const hosts = (sim: Simulation): string[] => [
  ...sim.boxes.keys(),
  ...[...sim.linemen.keys()].map((name) => `host-${name}`),
  ...sim.servers.keys(),
]

function killed(sim: Simulation, box: string, power: boolean): () => void {
  sim.killBox(box, power)
  return () => {
    sim.startBox(box)
  }
}
function frozen(process: { freeze: () => void; wake: () => void } | undefined): () => void {
  process?.freeze()
  return () => {
    process?.wake()
  }
}

function moveServer(sim: Simulation, name: string, address: string): void {
  const server = sim.servers.get(name)
  if (server !== undefined) server.address = address
}

export const simFaults: Record<string, Fault> = {
  'kill-leader': (sim) => killed(sim, leader(sim), true),
  'kill-box': (sim) => killed(sim, anyBox(sim), sim.chance.hit(0.5)),
  'freeze-leader': (sim) => frozen(sim.boxes.get(leader(sim))?.process),
  'freeze-box': (sim) => frozen(sim.boxes.get(anyBox(sim))?.process),
  'freeze-dispatcher': (sim) => frozen(sim.boxes.get(dispatcher(sim))?.process),
  'kill-dispatcher': (sim) => killed(sim, dispatcher(sim), false),
  'lose-disk': (sim) => {
    const box = sim.chance.hit(0.5) ? leader(sim) : anyBox(sim)
    sim.replaceBox(box)
    return () => {
      sim.startBox(box)
    }
  },
  'stall-disk': (sim) => {
    const disk = sim.boxes.get(leader(sim))?.disk
    if (disk !== undefined) disk.stalledUntilMs = sim.clock.nowMs + sim.options.faultMs
    return nothing
  },
  'slow-disks': (sim) => {
    for (const { disk } of sim.boxes.values()) disk.stalledUntilMs = sim.clock.nowMs + sim.options.faultMs / 4
    return nothing
  },
  'split-core': (sim) =>
    cutBoth(
      sim,
      [leader(sim)],
      [...sim.boxes.keys()].filter((one) => one !== leader(sim)),
    ),
  'cut-leader-off': (sim) =>
    cutBoth(
      sim,
      [leader(sim)],
      hosts(sim).filter((one) => one !== leader(sim)),
    ),
  'cut-core-off': (sim) =>
    cutBoth(
      sim,
      [...sim.boxes.keys()],
      hosts(sim).filter((one) => !sim.boxes.has(one)),
    ),
  'cut-one-way': (sim) => {
    const from = sim.chance.hit(0.5) ? leader(sim) : (sim.chance.pick(hosts(sim)) ?? '')
    for (const other of hosts(sim)) if (other !== from) sim.network.cut(from, other)
    return () => {
      sim.network.heal()
    }
  },
  'cut-post': (sim) => {
    const post = `host-${anyPost(sim)}`
    return cutBoth(
      sim,
      [post],
      hosts(sim).filter((one) => one !== post),
    )
  },
  'cut-post-from-core': (sim) => cutBoth(sim, [`host-${anyPost(sim)}`], [...sim.boxes.keys()]),
  'cut-post-from-system': (sim) => {
    const post = `host-${anyPost(sim)}`
    return cutBoth(
      sim,
      [post],
      hosts(sim).filter((one) => one !== post && !sim.servers.has(one)),
    )
  },
  'break-runs': (sim) => {
    for (const server of sim.servers.values()) server.breaksRuns = 0.5
    return () => {
      for (const server of sim.servers.values()) server.breaksRuns = 0
    }
  },
  'slow-links': (sim) => {
    for (const host of hosts(sim)) if (sim.chance.hit(0.4)) sim.network.slowMs.set(host, sim.chance.between(5, 60))
    return () => {
      sim.network.heal()
    }
  },
  'lossy-links': (sim) => {
    sim.network.lossRatio = 0.1
    return () => {
      sim.network.heal()
    }
  },
  'kill-turnout': (sim) => {
    const post = anyPost(sim)
    sim.killTurnout(post)
    return () => {
      sim.startPost(post)
    }
  },
  'kill-lineman': (sim) => {
    const post = anyPost(sim)
    sim.killLineman(post)
    return () => {
      sim.startPost(post)
    }
  },
  'freeze-turnout': (sim) => frozen(sim.turnouts.get(anyPost(sim))?.process),
  'freeze-lineman': (sim) => frozen(sim.linemen.get(anyPost(sim))?.process),
  'freeze-post': (sim) => {
    const post = anyPost(sim)
    const ends = [frozen(sim.turnouts.get(post)?.process), frozen(sim.linemen.get(post)?.process)]
    return () => {
      for (const end of ends) end()
    }
  },
  'crash-server': (sim) => {
    const name = anyServer(sim)
    sim.crashServer(name)
    return () => {
      sim.startServer(name)
    }
  },
  'dark-server': (sim) => {
    const server = sim.servers.get(anyServer(sim))
    if (server !== undefined) server.dark = true
    return () => {
      if (server !== undefined) server.dark = false
    }
  },
  'vanish-server': (sim) => {
    const name = anyServer(sim)
    const server = sim.servers.get(name)
    sim.crashServer(name)
    if (server !== undefined) server.listed = false
    return () => {
      if (server !== undefined) server.listed = true
      moveServer(sim, name, sim.freshAddress(name))
      sim.startServer(name)
    }
  },
  'reuse-address': (sim) => {
    const [old, heir] = [anyServer(sim, sim.chance.hit(0.7) ? 'service' : 'model'), anyServer(sim, 'model')]
    const address = sim.servers.get(old)?.address ?? ''
    if (old === heir) return nothing
    sim.crashServer(old)
    sim.crashServer(heir)
    const heirs = sim.servers.get(heir)?.address ?? ''
    moveServer(sim, heir, address)
    moveServer(sim, old, heirs)
    sim.startServer(heir)
    return () => {
      sim.startServer(old)
    }
  },
  'drain-server': (sim) => {
    const name = anyServer(sim)
    const server = sim.servers.get(name)
    if (server === undefined) return nothing
    server.draining = true
    sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: true, listed: true })
    return () => {
      server.draining = false
      sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: false, listed: true })
    }
  },
  'roll-servers': (sim) => {
    const names = [...sim.servers.keys()]
    names.forEach((name, at) => {
      sim.clock.after((at * sim.options.faultMs) / names.length, () => {
        const server = sim.servers.get(name)
        if (server === undefined) return
        server.draining = true
        sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: true, listed: true })
        sim.clock.after(sim.options.faultMs / names.length / 2, () => {
          sim.crashServer(name)
          moveServer(sim, name, sim.freshAddress(name))
          server.draining = false
          sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: false, listed: true })
          sim.startServer(name)
        })
      })
    })
    return nothing
  },
  'restart-servers': (sim) => {
    for (const name of sim.servers.keys()) {
      sim.crashServer(name)
      sim.clock.after(sim.chance.between(200, 1000), () => {
        sim.startServer(name)
      })
    }
    return nothing
  },
  'lose-zone': (sim) => {
    const zone = sim.chance.pick(sim.options.deployment.zones) ?? ''
    const boxes = [...sim.boxes].filter(([, box]) => box.zone === zone).map(([name]) => name)
    const posts = [...sim.linemen].filter(([, post]) => post.zone === zone).map(([name]) => name)
    const servers = [...sim.servers.values()].filter((one) => one.zone === zone).map((one) => one.name)
    for (const box of boxes) sim.killBox(box, true)
    for (const post of posts) {
      sim.killTurnout(post)
      sim.killLineman(post)
    }
    for (const server of servers) sim.crashServer(server)
    return () => {
      for (const box of boxes) sim.startBox(box)
      for (const post of posts) sim.startPost(post)
      for (const server of servers) sim.startServer(server)
    }
  },
  'stop-all': (sim) => {
    for (const box of sim.boxes.keys()) sim.killBox(box, true)
    for (const post of sim.turnouts.keys()) {
      sim.killTurnout(post)
      sim.killLineman(post)
    }
    return () => {
      for (const box of sim.boxes.keys()) sim.startBox(box)
      for (const post of sim.turnouts.keys()) sim.startPost(post)
    }
  },
  'order-trouble': (sim) => {
    for (const server of sim.servers.values()) {
      server.orderLoss = 0.3
      server.orderSlowMs = 3000
      server.lagMs = 600
      if (server.state !== undefined) {
        server.state.slowdown = 4
        server.state.failsLoads = sim.chance.hit(0.3)
      }
    }
    return () => {
      for (const server of sim.servers.values()) {
        server.orderLoss = 0
        server.orderSlowMs = 0
        server.lagMs = 200
        if (server.state !== undefined) {
          server.state.slowdown = 1
          server.state.failsLoads = false
        }
      }
    }
  },
  crowd: (sim) => {
    for (const course of sim.options.deployment.courses.slice(0, 3))
      for (let n = 0; n < sim.options.crowd; n++)
        sim.clock.after(sim.chance.between(0, 200), () => {
          sim.ask(course)
        })
    return nothing
  },
  'rare-rush': (sim) => {
    for (const course of sim.options.deployment.courses)
      sim.clock.after(sim.chance.between(0, 500), () => {
        sim.ask(course)
      })
    return nothing
  },
}
