import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Random } from '../common/Random.js'
import type { Row } from '../consensus/Row.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { RouteTable } from './RouteTable.js'
import { ServerTable } from './ServerTable.js'

const plan = { name: 'j-1', zone: 'a', suspectMs: 1400, refillMs: 2000 }
const seeds = 30
const turns = 60
const hosts = ['h', 'H', 'g.example']
const prefixes = ['/', '/a/', '/a/b/', '/c/']
const services = ['s-0', 's-1', 's-2']

/** Changes to a copy, as a copy takes them over: any rows, all under one revision. */
class Changes {
  readonly copy = new ReplicaTable()
  readonly random: Random
  #rows: Row[] = []
  #revision = 1

  constructor(seed: number) {
    this.random = new Random(seed)
  }

  set(key: string, value: unknown, gone = false): void {
    this.#rows.push({ key, stamp: this.#revision, gone, value: gone ? '' : JSON.stringify(value) })
  }

  take(): Row[] {
    const changed = this.copy.adopt(this.copy.stamp, this.#revision, this.#rows)
    this.#rows = []
    this.#revision += 1
    return changed
  }
}

function randomRoute(changes: Changes, name: string, place: { host: string; prefix: string }): void {
  const weight = changes.random.hit(0.1) ? 'unreadable' : changes.random.below(9)
  const routed = [{ service: changes.random.pick(services), weight }]
  changes.set(`route/${name}`, { name, ...place, kind: 'once', timeoutMs: 100, services: routed })
}

/** Routes are given places as a valid configuration does: no two have the same. */
function changeRoutes(changes: Changes): void {
  const places = hosts.slice(1).flatMap((host) => prefixes.map((prefix) => ({ host, prefix })))
  const shift = changes.random.below(places.length)
  places.forEach((_, at) => {
    const name = `r-${String(at)}`
    const place = places[(at + shift) % places.length]
    if (place === undefined || changes.random.hit(0.2)) changes.set(`route/${name}`, undefined, true)
    else randomRoute(changes, name, place)
  })
}

function found(table: RouteTable): unknown[] {
  return hosts.flatMap((host) => prefixes.map((prefix) => table.find(host, `${prefix}x`)))
}

/** The same routes as a table that reads the whole copy, but for rows that do not read, which leave what was there. */
test('routes adopted by changed rows are found as in a table that reads the whole copy', () => {
  for (let seed = 1; seed <= seeds; seed++) {
    const changes = new Changes(seed)
    const byRows = new RouteTable()
    const whole = new RouteTable()
    for (let turn = 0; turn < turns; turn++) {
      if (changes.random.hit(0.5)) changeRoutes(changes)
      byRows.adopt(changes.copy, changes.take())
      whole.adopt(changes.copy)
      deepStrictEqual(found(byRows), found(whole))
    }
  }
})

test('two routes that swap their places in one change are both found at the new ones', () => {
  const changes = new Changes(1)
  const table = new RouteTable()
  const route = (name: string, prefix: string) => {
    changes.set(`route/${name}`, { name, host: 'h', prefix, kind: 'once', timeoutMs: 1, services: [{ service: 's', weight: 1 }] })
  }
  route('one', '/a/')
  route('two', '/b/')
  table.adopt(changes.copy, changes.take())
  route('one', '/b/')
  route('two', '/a/')
  table.adopt(changes.copy, changes.take())
  deepStrictEqual([table.find('h', '/a/x')?.name, table.find('h', '/b/x')?.name], ['two', 'one'])
})

function changeServers(changes: Changes): void {
  const { random } = changes
  const name = `i-${String(random.below(12))}`
  const zone = random.pick(['a', 'b']) ?? 'a'
  if (random.hit(0.25)) changes.set(`server/${name}`, undefined, true)
  else {
    const listed = { name, address: `10.0.0.${String(1 + random.below(9))}:1`, zone, service: random.pick(services) }
    changes.set(`server/${name}`, { ...listed, capacity: 1 + random.below(4), draining: random.hit(0.2), cold: random.hit(0.2) })
  }
  const bound = `i-${String(random.below(12))}`
  changes.set(`binding/${bound}`, { incarnation: bound, models: [`m-${String(random.below(3))}`], adapters: [] }, random.hit(0.3))
  if (random.hit(0.2)) changes.set(`zone/${zone}`, { emptied: true }, random.hit(0.5))
  const service = random.pick(services) ?? ''
  const limits = { connections: random.below(90), warmMs: 10, coldPerS: 1 }
  if (random.hit(0.3)) changes.set(`service/${service}`, { name: service, ...limits }, random.hit(0.3))
}

function told(table: ServerTable): unknown {
  return {
    servers: [...table.all].sort((a, b) => (a.name < b.name ? -1 : 1)).map((one) => ({ ...one, open: table.open(one) })),
    services: services.map((name) => table.service(name)),
    open: services.map((name) => table.openServers(name)),
  }
}

test('servers adopted by changed rows are those of a table that reads the whole copy', () => {
  for (let seed = 1; seed <= seeds; seed++) {
    const changes = new Changes(seed)
    const byRows = new ServerTable(plan, new Random(1))
    const whole = new ServerTable(plan, new Random(1))
    for (let turn = 0; turn < turns; turn++) {
      for (let count = changes.random.below(4); count > 0; count--) changeServers(changes)
      const rows = changes.take()
      byRows.adopt(changes.copy, turn, rows)
      if (rows.length > 0) whole.adopt(changes.copy, turn)
      deepStrictEqual(told(byRows), told(whole))
    }
  }
})

test('a server that is no longer listed is kept while a request runs there, and listed again it is the same one', () => {
  const changes = new Changes(1)
  const table = new ServerTable(plan, new Random(1))
  const listed = { name: 'i-1', address: '10.0.0.1:1', zone: 'a', service: 's' }
  changes.set('server/i-1', listed)
  table.adopt(changes.copy, 1, changes.take())
  const server = table.get('i-1')
  if (server === undefined) throw new Error('no server')
  server.flights = 1
  changes.set('server/i-1', undefined, true)
  table.adopt(changes.copy, 2, changes.take())
  deepStrictEqual([table.get('i-1')?.draining, table.openServers('s')], [true, 0])
  changes.set('server/i-1', listed)
  table.adopt(changes.copy, 3, changes.take())
  deepStrictEqual([server.draining, table.openServers('s')], [false, 1])
  changes.set('server/i-1', undefined, true)
  table.adopt(changes.copy, 4, changes.take())
  server.flights = 0
  table.adopt(changes.copy, 5, [])
  strictEqual(table.get('i-1'), undefined)
})
