/**
 * What callers do to the system: crowds, odd dues, long streams, and leaving before the answer.
 */
import type { Fault } from './Fault.js'

const nothing = () => undefined

export const callerFaults: Readonly<Record<string, Fault>> = {
  crowd: (sim) => {
    for (const course of sim.options.deployment.courses.slice(0, 3))
      for (let n = 0; n < sim.options.crowd; n++)
        sim.clock.after(sim.random.between(0, 200), () => {
          sim.callers.ask(course)
        })
    return nothing
  },
  'rare-rush': (sim) => {
    for (const course of sim.options.deployment.courses)
      sim.clock.after(sim.random.between(0, 500), () => {
        sim.callers.ask(course)
      })
    return nothing
  },
  'crowd-tenfold': (sim) => {
    let open = true
    for (const course of sim.options.deployment.courses) {
      const next = () => {
        if (!open) return
        sim.callers.ask(course)
        sim.clock.after(sim.random.exponential(100 / course.perS), next)
      }
      sim.clock.after(sim.random.exponential(100 / course.perS), next)
    }
    return () => {
      open = false
    }
  },
  'odd-dues': (sim) => {
    const dues = [200, 400, 1500, 60_000, undefined]
    sim.callers.manner = { ...sim.callers.manner, dueInMs: () => sim.random.pick(dues) }
    return () => {
      delete sim.callers.manner.dueInMs
    }
  },
  'callers-leave': (sim) => {
    sim.callers.manner = { ...sim.callers.manner, leavesAfterMs: () => (sim.random.hit(0.3) ? sim.random.between(0, 60) : undefined) }
    return () => {
      delete sim.callers.manner.leavesAfterMs
    }
  },
  'long-streams': (sim) => {
    const models = sim.options.deployment.courses.filter((course) => course.kind === 'model')
    for (let n = 0; n < 20; n++) {
      const course = sim.random.pick(models)
      if (course !== undefined) sim.callers.ask({ ...course, lines: 400 }, sim.random, sim.random.between(1, 4) * sim.options.faultMs)
    }
    return nothing
  },
}
