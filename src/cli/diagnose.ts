/**
 * What an operator should know from the core's own account of its nodes, servers and charter: each
 * finding with what to do about it. `earlier` is a stamp that every seat has had time to adopt.
 */
import { z } from 'zod'
import type { Tree } from '../common/Tree.js'

interface Finding {
  what: string
  todo: string
}
const Nodes = z.object({
  stamp: z.number(),
  core: z.array(z.object({ seat: z.string(), voter: z.boolean(), alive: z.boolean() })),
  dispatcher: z.object({ holder: z.string() }).nullable(),
  exhausted: z.array(z.string()).default([]),
  syncMs: z.number().default(0),
  jumped: z.object({ byMs: z.number(), agoMs: z.number() }).nullable().default(null),
  seats: z.array(z.object({ seat: z.string(), zone: z.string(), alive: z.boolean(), adopted: z.number() })),
})
const Servers = z.array(z.object({ name: z.string(), zone: z.string(), draining: z.boolean(), binding: z.unknown(), order: z.unknown() }))
const Fleet = z.object({
  fleet: z.object({ servers: z.record(z.string(), z.object({ kind: z.string() })) }),
  zones: z.record(z.string(), z.object({ emptied: z.boolean() })).default({}),
})

const Placement = z.object({ unmet: z.array(z.object({ model: z.string(), adapter: z.string(), why: z.string() })).default([]) })
const slowSyncMs = 100
const recentMs = 600_000

export function diagnose(
  nodes: Tree | undefined,
  servers: Tree | undefined,
  charter: Tree | undefined,
  earlier: number,
  placement?: Tree,
): Finding[] {
  const findings: Finding[] = []
  const find = (what: string, todo: string) => {
    findings.push({ what, todo })
  }
  const core = Nodes.safeParse(nodes).data
  if (core === undefined)
    return [{ what: 'the core does not answer', todo: 'start the controlNodes; a majority of them must reach one another' }]
  for (const one of core.core) {
    if (!one.alive) find(`core machine ${one.seat} does not answer`, 'start it again; if its disk is gone, run the runbook replace-core')
    else if (!one.voter) find(`core machine ${one.seat} has no vote yet`, 'wait until it has caught up and its old identity is silent')
  }
  if (core.dispatcher === null)
    find('nobody holds the dispatcher duty', 'nothing is loaded or unloaded until a core machine wins it; look at the core first')
  for (const key of core.exhausted) {
    const [kind = '', server = ''] = key.split('/')
    const limit = kind === 'cold' ? 'coldLimit' : 'serverLimit'
    find(
      `what ${server} bears${kind === 'cold' ? ' while cold' : ''} is lent out while proxies want more`,
      `wait, or raise defaults.${limit} if the server bears more`,
    )
  }
  if (core.syncMs > slowSyncMs)
    find(
      `the leader's disk takes ${String(Math.round(core.syncMs))} ms for a sync`,
      'charters and orders wait for it; look at the disk, or stop that control so that another leads',
    )
  if (core.jumped !== null && core.jumped.agoMs < recentMs)
    find(`the leader's wall clock jumped by ${String(core.jumped.byMs)} ms`, 'hours of intents go by it; mend the clock')
  const alive = core.seats.filter((one) => one.alive)
  for (const one of core.seats) {
    if (!one.alive)
      find(
        `seat ${one.seat} in zone ${one.zone === '' ? 'unknown' : one.zone} is silent`,
        'start its agent; if the machine is gone for good: seat retire',
      )
    else if (one.adopted < earlier)
      find(
        `seat ${one.seat} works by stamp ${String(one.adopted)} of ${String(core.stamp)}`,
        'its proxy is stopped or frozen; start it again',
      )
  }
  if (core.seats.length > 0 && alive.length * 2 <= core.seats.length)
    find('no majority of the seats is alive', 'no charter can be acknowledged; start agents or retire the seats that are gone for good')
  const fleet = Fleet.safeParse(charter).data
  if (fleet === undefined) {
    find('there is no charter yet', 'charter put FILE')
    return findings
  }
  for (const { model, adapter, why } of Placement.safeParse(placement).data?.unmet ?? []) {
    find(
      `${adapter === '' ? model : `${model} with ${adapter}`} fits nowhere for now: ${why}`,
      'it waits for a window to close; more room, places or servers, or fewer models, would help',
    )
  }
  const listed = new Map((Servers.safeParse(servers).data ?? []).map((one) => [one.name, one]))
  for (const [name, plan] of Object.entries(fleet.fleet.servers)) {
    const server = listed.get(name)
    if (server === undefined)
      find(`server ${name} is in the charter but the platform does not list it`, 'start it, or take it out of the charter')
    else if (server.draining) find(`server ${name} drains`, 'nothing, if this is meant')
    else if (plan.kind === 'model' && server.binding === null)
      find(`model server ${name} has not reported lately`, 'look whether it is frozen or cut off from the core')
  }
  for (const name of listed.keys())
    if (fleet.fleet.servers[name] === undefined)
      find(`server ${name} is listed by the platform but not in the charter`, 'it gets no work; put it into fleet.servers if it should')
  for (const [zone, { emptied }] of Object.entries(fleet.zones))
    if (emptied) find(`zone ${zone} is emptied`, 'nothing, if this is meant; zone refill when the work there is done')
  return findings
}
