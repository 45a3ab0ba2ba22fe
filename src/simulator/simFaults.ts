/**
 * The faults that a simulated run can bring about. Each begins when it is called and returns what
 * ends it; a fault picks its victim by the run's seed.
 */
import { callerFaults } from './callerFaults.js'
import { charterFaults } from './charterFaults.js'
import { cutFaults } from './cutFaults.js'
import type { Fault } from './Fault.js'
import { serverFaults } from './serverFaults.js'
import type { Simulation } from './Simulation.js'

const nothing = () => undefined

function leader(sim: Simulation): string {
  let best = { name: [...sim.boxes.keys()][0] ?? '', term: -1 }
  for (const [name, { process }] of sim.boxes) {
    const raft = process.machine?.raft
    if (raft?.phase === 'leader' && raft.term > best.term) best = { name, term: raft.term }
  }
  return best.name
}
const dispatcher = (sim: Simulation): string =>
  [...sim.boxes].find(([, { process }]) => process.machine?.dispatcher !== undefined)?.[0] ?? leader(sim)
const anyBox = (sim: Simulation): string => sim.random.pick([...sim.boxes.keys()]) ?? ''
const anyPost = (sim: Simulation): string => sim.random.pick([...sim.proxies.keys()]) ?? ''
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
const hosts = (sim: Simulation): string[] => [
  ...sim.boxes.keys(),
  ...[...sim.agents.keys()].map((name) => `host-${name}`),
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

const systemFaults: Record<string, Fault> = {
  'jump-clocks': (sim) => {
    for (const box of sim.boxes.keys()) sim.hoursOff.set(box, sim.random.between(-30, 30))
    return () => {
      sim.hoursOff.clear()
    }
  },
  'cut-dispatcher-from-servers': (sim) => cutBoth(sim, [dispatcher(sim)], [...sim.servers.keys()]),
  'cut-posts-from-core': (sim) => {
    const posts = [...sim.agents.keys()].map((name) => `host-${name}`)
    return cutBoth(
      sim,
      posts.filter((_, at) => at * 2 <= posts.length),
      [...sim.boxes.keys()],
    )
  },
  'swap-seeds': (sim) => {
    const box = anyBox(sim)
    sim.replaceBox(box)
    const [post, agent] = sim.random.pick([...sim.agents]) ?? []
    if (post === undefined || agent === undefined) return nothing
    const others = [...sim.agents].filter(([name]) => name !== post).map(([, one]) => one.address)
    sim.seeds = others.slice(0, 3)
    sim.killProxy(post)
    sim.killAgent(post)
    sim.clock.after(sim.options.faultMs / 4, () => {
      sim.startPost(post)
      sim.startBox(box)
    })
    return () => {
      sim.startPost(post)
      sim.startBox(box)
    }
  },
  'power-at-write': (sim) => {
    let open = true
    for (const [name, box] of sim.boxes) {
      let left = sim.random.below(12)
      box.disk.watch = () => {
        left -= 1
        if (!open || left >= 0) return
        box.disk.watch = undefined
        const alive = [...sim.boxes.values()].filter((one) => one.process.alive).length
        if (alive < sim.boxes.size) return
        sim.clock.after(sim.random.hit(0.3) ? 0 : sim.random.between(0, 4), () => {
          sim.killBox(name, true)
          sim.clock.after(sim.random.between(100, 900), () => {
            sim.startBox(name)
          })
        })
      }
    }
    return () => {
      open = false
    }
  },
  'fail-disk': (sim) => {
    const name = sim.random.hit(0.5) ? leader(sim) : anyBox(sim)
    const box = sim.boxes.get(name)
    if (box === undefined) return nothing
    box.disk.watch = () => {
      box.disk.watch = undefined
      sim.killBox(name, false)
    }
    return () => {
      box.disk.watch = undefined
      sim.startBox(name)
    }
  },
  'lose-two-disks': (sim) => {
    const survivor = leader(sim)
    const lost = [...sim.boxes.keys()].filter((name) => name !== survivor)
    const kept = lost.map((name) => ({ name, records: sim.boxes.get(name)?.disk.records ?? [] }))
    for (const name of lost) sim.replaceBox(name)
    sim.killBox(survivor, false)
    return () => {
      sim.refoundBox(survivor)
      for (const name of sim.agents.keys()) {
        sim.killProxy(name)
        sim.killAgent(name)
        sim.startPost(name)
      }
      for (const name of sim.boxes.keys()) sim.startBox(name)
      if (sim.random.hit(0.7)) for (const old of kept) sim.wakeOld(old.name, old.records)
    }
  },
  'roll-processes': (sim) => {
    const waitMs = sim.options.faultMs / (sim.boxes.size + sim.agents.size)
    let atMs = 0
    const next = (stop: () => void, start: () => void) => {
      sim.clock.after(atMs, () => {
        stop()
        sim.clock.after(waitMs / 3, start)
      })
      atMs += waitMs
    }
    for (const box of sim.boxes.keys())
      next(
        () => {
          sim.killBox(box, false)
        },
        () => {
          sim.startBox(box)
        },
      )
    for (const post of sim.agents.keys()) {
      next(
        () => {
          sim.killProxy(post)
          sim.killAgent(post)
        },
        () => {
          sim.startPost(post)
        },
      )
    }
    return nothing
  },
  'kill-leader': (sim) => killed(sim, leader(sim), true),
  'kill-box': (sim) => killed(sim, anyBox(sim), sim.random.hit(0.5)),
  'freeze-leader': (sim) => frozen(sim.boxes.get(leader(sim))?.process),
  'freeze-box': (sim) => frozen(sim.boxes.get(anyBox(sim))?.process),
  'freeze-dispatcher': (sim) => frozen(sim.boxes.get(dispatcher(sim))?.process),
  'kill-dispatcher': (sim) => killed(sim, dispatcher(sim), false),
  'lose-disk': (sim) => {
    const box = sim.random.hit(0.5) ? leader(sim) : anyBox(sim)
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
    const from = sim.random.hit(0.5) ? leader(sim) : (sim.random.pick(hosts(sim)) ?? '')
    return cutWays(
      sim,
      hosts(sim)
        .filter((other) => other !== from)
        .map((other) => [from, other] as const),
    )
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
  'slow-links': (sim) => {
    for (const host of hosts(sim)) if (sim.random.hit(0.4)) sim.network.slowMs.set(host, sim.random.between(5, 60))
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
    const post = anyPost(sim)
    sim.killProxy(post)
    return () => {
      sim.startPost(post)
    }
  },
  'kill-agent': (sim) => {
    const post = anyPost(sim)
    sim.killAgent(post)
    return () => {
      sim.startPost(post)
    }
  },
  'freeze-proxy': (sim) => frozen(sim.proxies.get(anyPost(sim))?.process),
  'freeze-agent': (sim) => frozen(sim.agents.get(anyPost(sim))?.process),
  'freeze-post': (sim) => {
    const post = anyPost(sim)
    const ends = [frozen(sim.proxies.get(post)?.process), frozen(sim.agents.get(post)?.process)]
    return () => {
      for (const end of ends) end()
    }
  },
  'lose-zone': (sim) => {
    const zone = sim.random.pick(sim.options.deployment.zones) ?? ''
    const boxes = [...sim.boxes].filter(([, box]) => box.zone === zone).map(([name]) => name)
    const posts = [...sim.agents].filter(([, post]) => post.zone === zone).map(([name]) => name)
    const servers = [...sim.servers.values()].filter((one) => one.zone === zone).map((one) => one.name)
    for (const box of boxes) sim.killBox(box, true)
    for (const post of posts) {
      sim.killProxy(post)
      sim.killAgent(post)
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
    for (const post of sim.proxies.keys()) {
      sim.killProxy(post)
      sim.killAgent(post)
    }
    return () => {
      for (const box of sim.boxes.keys()) sim.startBox(box)
      for (const post of sim.proxies.keys()) sim.startPost(post)
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
