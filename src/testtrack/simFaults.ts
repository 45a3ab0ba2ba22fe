/**
 * The faults that a simulated run can bring about. Each begins when it is called and returns what
 * ends it; a fault picks its victim by the run's seed.
 */
import { callerFaults } from './callerFaults.js'
import { charterFaults } from './charterFaults.js'
import type { Fault } from './Fault.js'
import { serverFaults } from './serverFaults.js'
import type { Simulation } from './Simulation.js'

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

const systemFaults: Record<string, Fault> = {
  'jump-clocks': (sim) => {
    for (const box of sim.boxes.keys()) sim.hoursOff.set(box, sim.chance.between(-30, 30))
    return () => {
      sim.hoursOff.clear()
    }
  },
  'cut-dispatcher-from-servers': (sim) => cutBoth(sim, [dispatcher(sim)], [...sim.servers.keys()]),
  'cut-posts-from-core': (sim) => {
    const posts = [...sim.linemen.keys()].map((name) => `host-${name}`)
    return cutBoth(
      sim,
      posts.filter((_, at) => at * 2 <= posts.length),
      [...sim.boxes.keys()],
    )
  },
  'swap-seeds': (sim) => {
    const box = anyBox(sim)
    sim.replaceBox(box)
    const [post, lineman] = sim.chance.pick([...sim.linemen]) ?? []
    if (post === undefined || lineman === undefined) return nothing
    const others = [...sim.linemen].filter(([name]) => name !== post).map(([, one]) => one.address)
    sim.seeds = others.slice(0, 3)
    sim.killTurnout(post)
    sim.killLineman(post)
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
      let left = sim.chance.below(12)
      box.disk.watch = () => {
        left -= 1
        if (!open || left >= 0) return
        box.disk.watch = undefined
        const alive = [...sim.boxes.values()].filter((one) => one.process.alive).length
        if (alive < sim.boxes.size) return
        sim.clock.after(sim.chance.hit(0.3) ? 0 : sim.chance.between(0, 4), () => {
          sim.killBox(name, true)
          sim.clock.after(sim.chance.between(100, 900), () => {
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
    const name = sim.chance.hit(0.5) ? leader(sim) : anyBox(sim)
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
      for (const name of sim.linemen.keys()) {
        sim.killTurnout(name)
        sim.killLineman(name)
        sim.startPost(name)
      }
      for (const name of sim.boxes.keys()) sim.startBox(name)
      if (sim.chance.hit(0.7)) for (const old of kept) sim.wakeOld(old.name, old.records)
    }
  },
  'roll-processes': (sim) => {
    const waitMs = sim.options.faultMs / (sim.boxes.size + sim.linemen.size)
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
    for (const post of sim.linemen.keys()) {
      next(
        () => {
          sim.killTurnout(post)
          sim.killLineman(post)
        },
        () => {
          sim.startPost(post)
        },
      )
    }
    return nothing
  },
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
    for (const host of hosts(sim)) if (sim.chance.hit(0.4)) sim.network.slowMs.set(host, sim.chance.between(5, 60))
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
}

export const simFaults: Readonly<Record<string, Fault>> = { ...systemFaults, ...serverFaults, ...callerFaults, ...charterFaults }
