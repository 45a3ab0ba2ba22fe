/**
 * What operators do to the charter: many writes in quick succession, races of whole, partial and
 * one-branch writes with and without a condition, rollbacks, and growth by many routes.
 */
import type { Fault } from './Fault.js'
import type { Simulation } from './Simulation.js'

const nothing = () => undefined

function write(
  sim: Simulation,
  action: 'charter.put' | 'charter.patch' | 'charter.rollback',
  branch: string,
  text: string,
  ifMatch = -1,
  settled: (status: number, stamp: number) => void = nothing,
): void {
  sim.operators.write({ operation: sim.operators.name(), action, branch, text, ifMatch }, settled)
}

export const charterFaults: Readonly<Record<string, Fault>> = {
  'fifty-charters': (sim) => {
    const [partner = ''] = Object.keys(sim.options.deployment.charter.partners)
    for (let n = 0; n < 50; n++) {
      sim.clock.after(n * 10, () => {
        write(sim, 'charter.patch', '', JSON.stringify({ partners: { [partner]: { limits: { intent: { weight: 1 + n } } } } }))
      })
    }
    return nothing
  },
  'race-charters': (sim) => {
    const { charter } = sim.options.deployment
    const [, other = ''] = Object.keys(charter.partners)
    let open = true
    let last = -1
    const next = () => {
      if (!open) return
      const settled = (_status: number, stamp: number) => {
        last = stamp
      }
      const dueMs = 500 + sim.random.below(500)
      const ifMatch = sim.random.hit(0.4) ? last : -1
      const kind = sim.random.below(4)
      if (kind === 0) write(sim, 'charter.put', `partners.${other}`, JSON.stringify({ limits: { dueMs } }), ifMatch, settled)
      else if (kind === 1)
        write(
          sim,
          'charter.patch',
          `partners.${other}`,
          JSON.stringify({ limits: { intent: { coldStartCost: dueMs / 100 } } }),
          ifMatch,
          settled,
        )
      else if (kind === 2)
        write(sim, 'charter.patch', '', JSON.stringify({ partners: { [other]: { limits: { dueMs: null } } } }), ifMatch, settled)
      else write(sim, 'charter.put', `partners.${other}`, '{"limits": {"dueMs": "soon"}}', ifMatch, settled)
      sim.clock.after(sim.random.between(5, 150), next)
    }
    next()
    next()
    return () => {
      open = false
    }
  },
  'grow-charter': (sim) => {
    const [, other = ''] = Object.keys(sim.options.deployment.charter.partners)
    const services = Object.keys(sim.options.deployment.charter.fleet.servers).filter((_, at, all) => at === all.length - 1)
    const parts = 8
    for (let part = 0; part < parts; part++) {
      sim.clock.after((part * sim.options.faultMs) / parts, () => {
        const models = Object.fromEntries(
          Array.from({ length: sim.options.grows / parts }, (_, at) => [
            `grown-${String(part)}-${String(at)}`,
            { sizeMb: 1000 + at, adapters: ['a', 'b'] },
          ]),
        )
        const more = Object.fromEntries(
          Array.from({ length: sim.options.grows / parts }, (_, at) => [
            `grown-${String(part)}-${String(at)}`,
            { servers: services, repeatable: true },
          ]),
        )
        write(sim, 'charter.patch', `partners.${other}`, JSON.stringify({ models, services: more }))
      })
    }
    return nothing
  },
}
