/**
 * Faults of the servers behind the proxies, of the platform that lists them, and of orders to them.
 */
import type { Fault } from './Fault.js'
import type { Simulation } from './Simulation.js'

const nothing = () => undefined
const anyServer = (sim: Simulation, kind?: 'model' | 'service'): string =>
  sim.random.pick(
    [...sim.fleet.servers.values()]
      .filter((one) => one.state !== undefined && (kind === undefined || one.kind === kind))
      .map((one) => one.name),
  ) ?? ''

function moveServer(sim: Simulation, name: string, address: string): void {
  const server = sim.fleet.servers.get(name)
  if (server !== undefined) server.address = address
}

function platform(sim: Simulation, name: string, draining: boolean, listed: boolean): void {
  const server = sim.fleet.servers.get(name)
  if (server === undefined) return
  server.draining = draining
  server.listed = listed
  sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining, listed })
}

export const serverFaults: Readonly<Record<string, Fault>> = {
  'break-runs': (sim) => {
    for (const server of sim.fleet.servers.values()) server.breaksRuns = 0.5
    return () => {
      for (const server of sim.fleet.servers.values()) server.breaksRuns = 0
    }
  },
  'crash-server': (sim) => {
    const name = anyServer(sim)
    sim.fleet.crash(name)
    return () => {
      sim.fleet.start(name)
    }
  },
  'dark-server': (sim) => {
    const server = sim.fleet.servers.get(anyServer(sim))
    if (server !== undefined) server.dark = true
    return () => {
      if (server !== undefined) server.dark = false
    }
  },
  'vanish-server': (sim) => {
    const name = anyServer(sim)
    const server = sim.fleet.servers.get(name)
    sim.fleet.crash(name)
    if (server !== undefined) server.listed = false
    return () => {
      if (server !== undefined) server.listed = true
      moveServer(sim, name, sim.freshAddress(name))
      sim.fleet.start(name)
    }
  },
  'reuse-address': (sim) => {
    const [old, heir] = [anyServer(sim, sim.random.hit(0.7) ? 'service' : 'model'), anyServer(sim, 'model')]
    const address = sim.fleet.servers.get(old)?.address ?? ''
    if (old === heir) return nothing
    sim.fleet.crash(old)
    sim.fleet.crash(heir)
    const heirs = sim.fleet.servers.get(heir)?.address ?? ''
    moveServer(sim, heir, address)
    moveServer(sim, old, heirs)
    sim.fleet.start(heir)
    return () => {
      sim.fleet.start(old)
    }
  },
  'drain-server': (sim) => {
    const name = anyServer(sim)
    const server = sim.fleet.servers.get(name)
    if (server === undefined) return nothing
    server.draining = true
    sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: true, listed: true })
    return () => {
      server.draining = false
      sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: false, listed: true })
    }
  },
  'roll-servers': (sim) => {
    const names = [...sim.fleet.servers.keys()]
    names.forEach((name, at) => {
      sim.clock.after((at * sim.options.faultMs) / names.length, () => {
        const server = sim.fleet.servers.get(name)
        if (server === undefined) return
        server.draining = true
        sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: true, listed: true })
        sim.clock.after(sim.options.faultMs / names.length / 2, () => {
          sim.fleet.crash(name)
          moveServer(sim, name, sim.freshAddress(name))
          server.draining = false
          sim.see({ kind: 'platform', atMs: sim.clock.nowMs, server: name, draining: false, listed: true })
          sim.fleet.start(name)
        })
      })
    })
    return nothing
  },
  'restart-servers': (sim) => {
    for (const name of sim.fleet.servers.keys()) {
      sim.fleet.crash(name)
      sim.clock.after(sim.random.between(200, 1000), () => {
        sim.fleet.start(name)
      })
    }
    return nothing
  },
  'order-trouble': (sim) => {
    for (const server of sim.fleet.servers.values()) {
      server.orderLoss = 0.3
      server.orderSlowMs = 3000
      server.lagMs = 600
      if (server.state !== undefined) {
        server.state.slowdown = 4
        server.state.failsLoads = sim.random.hit(0.3)
      }
    }
    return () => {
      for (const server of sim.fleet.servers.values()) {
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
  'take-zone-away': (sim) => {
    const zone = sim.random.pick(sim.options.deployment.zones) ?? ''
    const names = [...sim.fleet.servers.values()].filter((one) => one.zone === zone && one.state !== undefined).map((one) => one.name)
    for (const name of names) {
      platform(sim, name, true, true)
      sim.clock.after(500, () => {
        platform(sim, name, true, false)
        sim.fleet.crash(name)
      })
    }
    return () => {
      for (const name of names) {
        sim.fleet.crash(name)
        moveServer(sim, name, sim.freshAddress(name))
        platform(sim, name, false, true)
        sim.fleet.start(name)
      }
    }
  },
  'slow-answers': (sim) => {
    const some = [...sim.fleet.servers.values()].filter(() => sim.random.hit(0.3))
    for (const server of some) server.slowness = 400
    sim.callers.longestRunMs = 60_000
    return () => {
      for (const server of some) server.slowness = 1
    }
  },
  'false-identity': (sim) => {
    const server = sim.fleet.servers.get(anyServer(sim))
    const other = sim.fleet.servers.get(anyServer(sim))
    if (server !== undefined && other !== server) server.claims = other?.name
    return () => {
      if (server !== undefined) server.claims = undefined
    }
  },
  'nonsense-reports': (sim) => {
    const some = [...sim.fleet.servers.values()].filter(() => sim.random.hit(0.3))
    for (const server of some) server.nonsense = true
    return () => {
      for (const server of some) server.nonsense = false
    }
  },
}
