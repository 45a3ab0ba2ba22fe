/**
 * How each part of the control plane grows: the real machines, hollow, with one dimension varied at a time
 * from a small base, and what was counted fitted by a line. Bytes and messages repeat from run to run;
 * processor time is the process's own, as the system counts it, and moves with the machine's load by some
 * hundredths. Wall time is not used.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { Leases } from '../consensus/Leases.js'
import { GatewayMachine } from '../gateway/GatewayMachine.js'
import { SeatDesk } from '../control/SeatDesk.js'
import { Frame } from '../transport/Frame.js'
import type { Message } from '../transport/Message.js'
import { Dispatcher } from '../placement/Dispatcher.js'
import { edgeMulti } from '../placement/edgeMulti.js'
import { fit } from './fit.js'
import { HollowNetwork } from './HollowNetwork.js'
import { HollowSize } from './HollowSize.js'

type Figures = Record<string, number>
interface Dimension {
  sizes: readonly number[]
  most: number
  target: number
  what: string
  /** The figure that stands for the size, where what is varied only brings it about. */
  by?: string
  at: (size: number) => Figures
}

const base: HollowSize = {
  boxes: 3,
  nodes: 20,
  servers: 80,
  models: 40,
  adapters: 240,
  routes: 50,
  requestsPerS: 40,
  rarePerS: 0,
  changesPerS: 0,
  events: 12,
  runMs: 2000,
}
setFlagsFromString('--expose-gc')
const collect: unknown = runInNewContext('gc')
const spanMs = 2500
const plan = {
  name: 'n0000',
  zone: 'z0',
  retryRatio: 0.2,
  retryAllowance: 50,
  retryWindowMs: 10_000,
  suspectMs: 1400,
  refillMs: 2000,
  tallyMs: 250,
}
const timings = Timings(Bounds.parse({}))
const tallyPerS = 4
const oneChangePerS = 10
const oneChangeTurns = 3
/** A line that misses by more says nothing of a larger size. */
const mostMissRatio = 0.15

/** Processor time of a call in microseconds, over many calls after a few that only warm it up. */
function cpuUs(calls: number, run: (at: number) => void): number {
  for (let at = 0; at < calls / 5; at++) run(at)
  const before = process.cpuUsage()
  for (let at = 0; at < calls; at++) run(at)
  const spent = process.cpuUsage(before)
  return (spent.user + spent.system) / calls
}

/** Heap that is held by what `make` gives, in bytes, each time after a whole collection. */
function heldBytes(make: () => unknown): number {
  const settle = () => {
    for (let at = 0; at < 4; at++) if (typeof collect === 'function') Reflect.apply(collect, undefined, [])
    return process.memoryUsage().heapUsed
  }
  make()
  const before = settle()
  const kept = [make()]
  const after = settle()
  return kept.length > 0 ? after - before : 0
}

/** A network under way, and what a second of it costs each role. */
function world(size: HollowSize): Figures {
  const network = new HollowNetwork(size)
  network.begin()
  network.measure(spanMs)
  const figures: Figures = {}
  const perS = spanMs / 1000
  for (const [role, name] of Object.entries(network.roles)) {
    const account = network.account(name)
    figures[`${role}: messages in and out a s`] = (account.sent + account.heard) / perS
    figures[`${role}: bytes out a s`] = account.sentBytes / perS
    figures[`${role}: bytes in a s`] = account.heardBytes / perS
    figures[`${role}: ms of a core a s`] = account.cpuUs / 1000 / perS
    if (role !== 'leaf' && role !== 'parent') continue
    figures[`${role}: adopting, ms of a core a s`] = network.account(`${name}/adopt`).cpuUs / 1000 / perS
    figures[`${role}: ticks of the gateway, ms of a core a s`] = network.account(`${name}/tick`).cpuUs / 1000 / perS
  }
  const asked = network.edges.reduce((sum, one) => sum + network.account(`${one.name}/request`).cpuUs, 0)
  if (network.requests > 0) figures['gateway: us of a core a request'] = asked / network.requests
  figures['orders to servers a s'] = network.orders / perS
  figures['disk of all core machines: bytes a s'] = network.diskBytes / perS
  for (const role of ['leader', 'leaf'] as const)
    for (const [kind, bytes] of network.account(network.roles[role]).kinds) figures[`${role}: bytes ${kind} a s`] = bytes / perS
  const acks = [...network.ackMs].sort((a, b) => a - b)
  if (acks.length > 0) figures['acknowledged after ms, the slowest'] = acks.at(-1) ?? 0
  return figures
}

/** What one change of one route costs each role: spans with changes less spans without, of the same network, in turn. */
function oneChange(size: HollowSize): Figures {
  const network = new HollowNetwork({ ...size, requestsPerS: 0, changesPerS: oneChangePerS })
  network.begin()
  const costs = Array.from({ length: oneChangeTurns }, () => {
    const quiet = roleCosts(network, false)
    return Object.entries(roleCosts(network, true)).map(([role, us]): [string, number] => [role, us - (quiet[role] ?? 0)])
  })
  const changes = (oneChangePerS * spanMs) / 1000
  const medians = Object.keys(network.roles).map((role): [string, number] => {
    const sorted = costs.map((one) => new Map(one).get(role) ?? 0).sort((a, b) => a - b)
    return [`${role}: us of a core a change`, (sorted[Math.floor(sorted.length / 2)] ?? 0) / changes]
  })
  return Object.fromEntries(medians)
}

/** Processor time of each role in a span with changes or without, a gateway's adoption with that of its agent. */
function roleCosts(network: HollowNetwork, changing: boolean): Record<string, number> {
  network.changing = changing
  network.measure(spanMs)
  const spent = (name: string) =>
    network.account(name).cpuUs + network.account(`${name}/adopt`).cpuUs + network.account(`${name}/tick`).cpuUs
  return Object.fromEntries(Object.entries(network.roles).map(([role, name]): [string, number] => [role, spent(name)]))
}

/** One of three regions cut off while operators make so many changes, with the leader in it or not, and what it takes to be level again. */
function cut(changes: number, withLeader: boolean): Figures {
  const network = new HollowNetwork({ ...base, boxes: 5, nodes: 12, routes: 350, requestsPerS: 0, changesPerS: 10 })
  network.begin()
  const regions = [
    ['z0', 'z3'],
    ['z1', 'z4'],
    ['z2', 'z5'],
  ]
  const led = regions.find((one) => one.includes(`z${String(Number(network.leader.slice(-2)) - 1)}`))
  const region = new Set(withLeader ? led : regions.find((one) => one !== led))
  const inside = network.edges.filter((one) => region.has(one.zone))
  network.cutOff = region
  let unled = 0
  let bare = 0
  for (let at = 0; at < 2 * changes; at++) {
    network.measure(50)
    if (network.leader === '') unled += 1
    if (inside.some((one) => one.gateway.routes.find('h.example', HollowSize.path(0)) === undefined)) bare += 1
  }
  const stamp = Math.max(...[...network.controlNodes.values()].map((one) => one.replicatedState.copy.stamp))
  const behind = inside.filter((one) => one.agent.copy.stamp < stamp).length
  network.cutOff = new Set()
  network.measure(0)
  const fromMs = network.clock.nowMs
  while (inside.some((one) => one.agent.copy.stamp < stamp) && network.clock.nowMs < fromMs + 60_000 && network.clock.turn());
  const where = withLeader ? 'region with the leader' : 'region without the leader'
  return {
    [`${where}: of its nodes behind at the end`]: behind,
    [`${where}: ms from the end of the cut until all there work by what was in force`]: network.clock.nowMs - fromMs,
    [`${where}: bytes that the busiest node there heard until then`]: Math.max(
      0,
      ...inside.map((one) => network.account(one.name).heardBytes),
    ),
    [`${where}: s without any leader, seen from outside`]: unled / 20,
    [`${where}: s in which some node there had no routes`]: bare / 20,
  }
}

/** The table as a network of this size makes it, with a binding for each server. */
function table(size: HollowSize): ReplicaTable {
  const copy = new ReplicaTable()
  const { routes, services, limits } = HollowSize.network(size, 1)
  const set = (key: string, value: unknown) => copy.set({ key, stamp: copy.stamp + 1, gone: false, value: JSON.stringify(value) })
  set('network', { revision: 1, limits })
  for (const one of routes) set(`route/${one.name}`, one)
  for (const one of services) set(`service/${one.name}`, one)
  for (const { models, ...one } of HollowSize.servers(size)) {
    set(`server/${one.name}`, one)
    const adapters = models?.flatMap((held) => held.adapters.map((adapter) => `${held.model}/${adapter}`))
    set(`binding/${one.name}`, { incarnation: one.name, models: models?.map((held) => held.model), adapters })
  }
  return copy
}

function granted(lease: ReturnType<SeatDesk['renew']>): Extract<Message, { kind: 'lease' }> {
  if (lease === undefined) throw new Error('a renewal got no lease')
  return lease
}

function renewal(seat: string, peersSum: number): Extract<Message, { kind: 'renew' }> {
  const rest = { asks: [], echo: 0, again: [], firsts: [], peersSum }
  return { kind: 'renew', seat, role: 'agent', zone: 'z1', session: 's', sentMs: 1e6, adopted: 1e6, ...rest }
}

/** The leader's desk alone: one renewal by one of so many members, before a table of so many servers. */
function desk(size: HollowSize): Figures {
  const copy = table(size)
  const seats = new SeatDesk(timings)
  seats.begin(1, 0)
  const name = (at: number) => `n${String(at).padStart(4, '0')}`
  const renew = (at: number, sum: number) => granted(seats.renew(renewal(name(at), sum), `10.1.0.${String(at)}:7`, copy, 0, 1000))
  for (let at = 0; at < size.nodes; at++) renew(at, 0)
  const lease = renew(0, 0)
  const whole = Frame.write('box-01', '10.0.0.1:7', lease).length
  const same = Frame.write('box-01', '10.0.0.1:7', renew(0, lease.peersSum)).length
  return {
    'leader: us of a core a renewal, its desk alone': cpuUs(400, (at) => renew(at % size.nodes, lease.peersSum)),
    'lease: bytes with the members': whole,
    'lease: bytes without': same,
  }
}

/** A gateway before so many servers: one request from its arrival to its end, and one binding that changed. */
function gateway(size: HollowSize): Figures {
  const copy = table(size)
  const machine = new GatewayMachine(plan, copy, new Random(1))
  machine.servers.members = Array.from({ length: size.nodes }, (_, at) => `n${String(at).padStart(4, '0')}`)
  let nowMs = 10_000
  machine.step({ kind: 'adopted' }, nowMs)
  const random = new Random(3)
  const request = (at: number) => {
    const id = String(at)
    nowMs += 1
    const arrival = HollowSize.arrival(size, at, random)
    const sends = machine.step({ kind: 'arrived', id, host: 'h.example', path: HollowSize.path(0), arrival }, nowMs)
    const attempt = 1
    if (!sends.some((one) => one.kind === 'attempt')) return
    machine.step({ kind: 'sent', id, attempt }, nowMs)
    machine.step({ kind: 'head', id, attempt, status: 200, notRun: false }, nowMs)
    for (let n = 0; n < size.events; n++) machine.step({ kind: 'event', id, attempt, event: String(n), data: true }, nowMs)
    machine.step({ kind: 'ended', id, attempt }, nowMs)
  }
  const us = cpuUs(800, request)
  const adoptUs = cpuUs(20, (at) => {
    const server = HollowSize.server(at % size.servers)
    const models = [`lm:m${String(at % 3)}`]
    copy.set({
      key: `binding/${server}`,
      stamp: copy.stamp + 1,
      gone: false,
      value: JSON.stringify({ incarnation: server, models, adapters: [] }),
    })
    machine.step({ kind: 'adopted' }, nowMs)
  })
  const rows = copy.dump()
  const whole = Frame.write('box-01', '10.0.0.1:7', { kind: 'news', stamp: copy.stamp, since: 0, rows })
  return {
    'news: bytes of the whole table': whole.length,
    'news: us of a core to read the whole table': cpuUs(3, () => new Frame().read(whole)),
    'gateway: us of a core a request, alone': us,
    'gateway: us of a core to adopt one changed row': adoptUs,
  }
}

/** Flights that a node has at its share of the load, as its tally tells them and as the leader adds them up. */
function tally(busyServers: number): Figures {
  const flights = Array.from({ length: busyServers }, (_, at) => ({
    server: HollowSize.server(at),
    model: `lm:m${String(at % 20)}`,
    adapter: '',
    count: 2,
  }))
  const arrivals = Array.from({ length: Math.min(20, busyServers) }, (_, at) => ({
    model: `lm:m${String(at)}`,
    adapter: '',
    count: 3,
    agoMs: 20,
  }))
  const message: Message = { kind: 'tally', seat: 'n0000', session: 's', adopted: 1, atMs: 1, arrivals, held: [], flights }
  const dispatcher = new Dispatcher(timings, 1, false, edgeMulti, 0)
  dispatcher.tally('n0000', message, [], 1000)
  const loads = dispatcher.loads(1000)
  const seats = new SeatDesk(timings)
  seats.begin(1, 0)
  const lease = granted(seats.renew(renewal('n0000', 0), '10.1.0.1:7', new ReplicaTable(), 0, 1000, loads))
  const frame = Frame.write('box-01', '10.0.0.1:7', lease)
  const machine = new GatewayMachine(plan, table({ ...base, servers: busyServers, routes: 1 }), new Random(1))
  machine.step({ kind: 'adopted' }, 1000)
  return {
    'gateway: us of a core to take in the loads': cpuUs(200, () => {
      machine.servers.told(loads)
    }),
    'tally: bytes': Frame.write('n0000', '10.1.0.1:7', message).length,
    'lease: bytes with the loads of busy servers': frame.length,
    'lease with loads: us of a core to write': cpuUs(200, () => Frame.write('box-01', '10.0.0.1:7', lease)),
    'lease with loads: us of a core to read': cpuUs(200, () => new Frame().read(frame)),
  }
}

/** The dispatcher alone: its ticks over a second, with tallies from every node and all servers as listed. */
function dispatching(size: HollowSize): Figures {
  const copy = table(size)
  let nowMs = 1000
  const dispatcher = new Dispatcher(timings, 1, false, edgeMulti, nowMs)
  const listed = HollowSize.servers(size)
  const random = new Random(5)
  dispatcher.tick(copy, true, 0, nowMs)
  const tell = () => {
    for (let at = 0; at < size.nodes; at++) {
      const share = size.requestsPerS / size.nodes / tallyPerS
      const count = Math.floor(share) + (random.hit(share - Math.floor(share)) ? 1 : 0)
      const arrivals = Array.from({ length: count }, (_, n) => {
        const { model, adapter } = HollowSize.arrival(size, n, random)
        return { model: `lm:${model}`, adapter, count: 1, agoMs: 20 }
      })
      const flights = arrivals.map((one) => ({
        server: HollowSize.server(random.below(size.servers)),
        model: one.model,
        adapter: '',
        count: 1,
      }))
      dispatcher.tally(`n${String(at)}`, { session: 's', adopted: copy.stamp, held: [], flights }, arrivals, nowMs)
    }
  }
  const ticksPerS = Math.round(1000 / timings.tickMs)
  let asks = 0
  const second = () => {
    for (let tick = 0; tick < ticksPerS; tick++) {
      nowMs += timings.tickMs
      if (tick % Math.round(ticksPerS / tallyPerS) === 0) tell()
      if (tick % 18 === 0) dispatcher.listed(listed, nowMs, nowMs)
      const out = dispatcher.tick(copy, true, 0, nowMs)
      asks += out.asks.length
      for (const order of out.orders) dispatcher.replied(order.server, order.order.number, 'turnedAway', nowMs)
      for (const row of out.rows) copy.set({ ...row, stamp: copy.stamp + 1 })
    }
  }
  second()
  second()
  asks = 0
  const us = cpuUs(3, second)
  return {
    'platform list: bytes': JSON.stringify(listed).length,
    'dispatcher: ms of a core a s': us / 1000,
    'dispatcher: reads of servers a s': asks / 3,
  }
}

/** The one row that holds a service with all of its models, as any change of it goes to every node. */
function serviceRow(size: HollowSize): Figures {
  const copy = table(size)
  const rows = copy.dump().filter((row) => row.key.startsWith('service/'))
  const bytes = Frame.write('box-01', '10.0.0.1:7', { kind: 'news', stamp: 2, since: 1, rows }).length
  return { 'news: bytes of any change of the service': bytes }
}

const kept = {
  rows: (count: number): Figures => ({
    'heap: bytes of a table of routes': heldBytes(() => {
      const copy = new ReplicaTable()
      for (const [at, one] of HollowSize.network({ ...base, routes: count }, 1).routes.entries())
        copy.set({ key: `route/${one.name}`, stamp: at + 1, gone: false, value: JSON.stringify(one) })
      return copy
    }),
  }),
  members: (count: number): Figures => ({
    'heap: bytes of the leader for its members': heldBytes(() => {
      const leases = new Leases(timings)
      for (let at = 0; at < count; at++) {
        const [seat, session, address] = [`n${String(at)}`, `s${String(at)}`, `10.1.0.${String(at)}:7`]
        leases.renew({ seat, session, address, zone: 'z1', adopted: 1, sentMs: 1000, echo: undefined }, 1000)
      }
      return leases
    }),
  }),
  servers: (count: number): Figures => ({
    'heap: bytes of a gateway with its copy': heldBytes(() => {
      const copy = table({ ...base, servers: count, routes: 1 })
      const machine = new GatewayMachine(plan, copy, new Random(1))
      machine.step({ kind: 'adopted' }, 1000)
      return machine
    }),
    'heap: bytes of a dispatcher without its copy': heldBytes(() => {
      const size = { ...base, servers: count, routes: 1 }
      const dispatcher = new Dispatcher(timings, 1, false, edgeMulti, 0)
      dispatcher.tick(table(size), true, 0, 1000)
      dispatcher.listed(HollowSize.servers(size), 2000, 2000)
      dispatcher.tick(table(size), true, 0, 2000)
      return dispatcher
    }),
  }),
  chains: (count: number): Figures => ({
    'heap: bytes of a gateway that sent so many parts': heldBytes(() => {
      const machine = new GatewayMachine(plan, table({ ...base, routes: 1 }), new Random(1))
      machine.step({ kind: 'adopted' }, 1000)
      for (let at = 0; at < count; at++) {
        const id = String(at)
        const arrival = {
          id,
          dueInMs: 9000,
          resumeAfter: undefined,
          model: `m${String(at % 20)}`,
          adapter: '',
          promptTokens: 9,
          parts: [{ id, tokens: 9 }],
        }
        machine.step({ kind: 'arrived', id, host: 'h.example', path: HollowSize.path(0), arrival }, 1000)
        machine.step({ kind: 'sent', id, attempt: 1 }, 1000)
        machine.step({ kind: 'head', id, attempt: 1, status: 200, notRun: false }, 1000)
        machine.step({ kind: 'ended', id, attempt: 1 }, 1000)
      }
      return machine
    }),
  }),
}

const dimensions: Record<string, Dimension> = {
  nodes: { sizes: [20, 80, 320], most: 400, target: 370, what: 'edge machines, whole network', at: (nodes) => world({ ...base, nodes }) },
  servers: {
    sizes: [20, 80, 320, 1150],
    most: 2500,
    target: 2300,
    what: 'servers, whole network',
    at: (servers) => world({ ...base, servers }),
  },
  requests: {
    sizes: [20, 80, 320],
    most: 800,
    target: 140,
    what: 'requests a second on 20 nodes, whole network',
    at: (requestsPerS) => world({ ...base, requestsPerS }),
  },
  changeRoutes: {
    sizes: [50, 200, 750, 3000],
    most: 5000,
    target: 750,
    what: 'routes, one change of one of them, whole network of 20 nodes',
    at: (routes) => oneChange({ ...base, boxes: 5, routes }),
  },
  changeNodes: {
    sizes: [9, 80, 370],
    most: 400,
    target: 370,
    what: 'edge machines, one change of one of 750 routes, whole network',
    at: (nodes) => oneChange({ ...base, boxes: 5, nodes, routes: 750 }),
  },
  changes: {
    sizes: [1, 2, 4, 8],
    most: 20,
    target: 0.0486,
    what: 'changes of one of 350 routes a second, whole network',
    at: (changesPerS) => world({ ...base, routes: 350, requestsPerS: 0, changesPerS }),
  },
  loads: {
    sizes: [1, 2, 4],
    most: 20,
    target: 0.72,
    what: 'requests a second for idle models, by the orders that they lead to, whole network, 280 models',
    by: 'orders to servers a s',
    at: (rarePerS) => world({ ...base, models: 280, adapters: 1700, rarePerS }),
  },
  cut: {
    sizes: [25, 50, 175],
    most: 1000,
    target: 175,
    what: 'changes while a region is cut off',
    at: (changes) => ({ ...cut(changes, false), ...cut(changes, true) }),
  },
  boxes: {
    sizes: [3, 5, 9, 13],
    most: 13,
    target: 13,
    what: 'core machines, whole network',
    at: (boxes) => world({ ...base, boxes, requestsPerS: 0, changesPerS: 2 }),
  },
  members: {
    sizes: [20, 80, 320],
    most: 2000,
    target: 370,
    what: 'members, the desk of leases alone',
    at: (nodes) => desk({ ...base, nodes }),
  },
  tableRows: {
    sizes: [80, 320, 1150, 2300],
    most: 5000,
    target: 2300,
    what: 'servers in the table, the desk alone',
    at: (servers) => desk({ ...base, servers }),
  },
  ranked: {
    sizes: [20, 80, 320, 2300],
    most: 5000,
    target: 2300,
    what: 'servers, a gateway alone',
    at: (servers) => gateway({ ...base, servers }),
  },
  events: {
    sizes: [8, 32, 128],
    most: 1000,
    target: 292,
    what: 'parts of an answer, a gateway alone',
    at: (events) => gateway({ ...base, events }),
  },
  busy: { sizes: [20, 80, 320, 2300], most: 5000, target: 2300, what: 'servers with requests, tally and lease', at: tally },
  ordered: {
    sizes: [80, 320, 1150, 2300],
    most: 3000,
    target: 2300,
    what: 'servers, the dispatcher alone',
    at: (servers) => dispatching({ ...base, servers }),
  },
  models: {
    sizes: [40, 160, 280],
    most: 1000,
    target: 280,
    what: 'models, the dispatcher alone',
    at: (models) => ({ ...dispatching({ ...base, models }), ...serviceRow({ ...base, models }) }),
  },
  adapters: {
    sizes: [240, 720, 1700],
    most: 5000,
    target: 1700,
    what: 'adapters, the dispatcher alone',
    at: (adapters) => ({ ...dispatching({ ...base, adapters }), ...serviceRow({ ...base, adapters }) }),
  },
  told: {
    sizes: [20, 80, 320],
    most: 1000,
    target: 370,
    what: 'nodes that tell, the dispatcher alone',
    at: (nodes) => dispatching({ ...base, nodes }),
  },
  asked: {
    sizes: [40, 400, 2600],
    most: 5000,
    target: 2600,
    what: 'requests a second, the dispatcher alone',
    at: (requestsPerS) => dispatching({ ...base, requestsPerS }),
  },
  keptRows: { sizes: [400, 1600, 6400], most: 20_000, target: 5000, what: 'rows, memory', at: kept.rows },
  keptMembers: { sizes: [80, 320, 1280], most: 20_000, target: 370, what: 'members, memory', at: kept.members },
  keptServers: { sizes: [80, 320, 1150, 2300], most: 5000, target: 2300, what: 'servers, memory', at: kept.servers },
  keptChains: {
    sizes: [2000, 8000, 20_000],
    most: 4096,
    target: 2048,
    what: 'prompt parts sent to 80 servers, memory',
    at: kept.chains,
  },
}

function text(figure: number): string {
  return Math.abs(figure) >= 100 ? String(Math.round(figure)) : Number(figure.toPrecision(3)).toString()
}

function measured(name: string, one: Dimension, sizes: readonly number[], say: (line: string) => void): void {
  const [first = 1] = sizes
  one.at(first)
  const runs = sizes.map((size) => ({ size, figures: one.at(size) }))
  say(`${name}: ${one.what}; at ${sizes.join(' / ')}; target ${String(one.target)}`)
  for (const figure of new Set(runs.flatMap((run) => Object.keys(run.figures)))) {
    const points = runs.map((run) => ({
      size: one.by === undefined ? run.size : (run.figures[one.by] ?? 0),
      figure: run.figures[figure] ?? 0,
    }))
    const made = fit(points)
    const last = points.find((point) => point.size === one.target)
    const reached = made.intercept + made.slope * one.target ** made.power
    const atTarget = last !== undefined ? text(last.figure) : made.missRatio > mostMissRatio ? 'no line fits' : text(reached)
    const by = made.power === 1 ? '' : ' squared'
    say(
      `  ${figure}: ${points.map((point) => text(point.figure)).join(' / ')}; slope ${text(made.slope)}${by}, from ${text(made.intercept)}, ` +
        `misses ${text(100 * made.missRatio)} %, grows as ^${made.exponent.toFixed(2)}; at the target ${atTarget}`,
    )
  }
}

export const slopes = {
  names: Object.keys(dimensions),

  /** Why these sizes can not be measured, or nothing. */
  impossible(names: readonly string[], sizes: readonly number[] | undefined): string | undefined {
    const strange = names.find((name) => dimensions[name] === undefined)
    if (strange !== undefined) return `no dimension is named ${strange}`
    if (sizes === undefined) return undefined
    const [name = ''] = names
    const most = dimensions[name]?.most ?? 0
    if (names.length !== 1) return 'sizes are for one dimension'
    if (new Set(sizes).size < 3) return 'a slope needs three sizes or more'
    const wrong = sizes.find((size) => !Number.isInteger(size) || size < 1 || size > most)
    return wrong === undefined ? undefined : `${name} can be whole numbers from 1 to ${String(most)}`
  },

  run(names: readonly string[], sizes: readonly number[] | undefined, say: (line: string) => void): void {
    for (const name of names) {
      const one = dimensions[name]
      if (one !== undefined) measured(name, one, sizes ?? one.sizes, say)
    }
  },
}
