import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../common/Random.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { DelayAccount } from './DelayAccount.js'
import type { Passage } from './Passage.js'
import type { Server } from './Server.js'
import { ServerTable } from './ServerTable.js'

const plan = { name: 'j-1', zone: 'a', suspectMs: 1400, refillMs: 2000 }
const startMs = 1000
const names = ['s-0', 's-1', 's-2']

function set(copy: ReplicaTable, key: string, value: unknown, gone = false): void {
  copy.set({ key, stamp: copy.stamp + 1, gone, value: JSON.stringify(value) })
}

/** Three servers of one zone that hold the model `m`, with an adapter. */
function rows(service: object = {}, server: object = {}): ReplicaTable {
  const copy = new ReplicaTable()
  const batch = { capacity: 4, cacheTokens: 1000, roomMb: 100, adapterPlaces: 2, loadsPerS: 5, models: [] }
  set(copy, 'service/llm', { name: 'llm', connections: 100, batch, ...service })
  names.forEach((name, at) => {
    set(copy, `server/${name}`, { name, address: `10.0.0.${String(at + 1)}:1`, zone: 'a', service: 'llm', capacity: 4, ...server })
    set(copy, `binding/${name}`, { incarnation: name, models: ['llm:m'], adapters: ['llm:m/a1'] })
  })
  return copy
}

function given(copy = rows(), name = plan.name, members: readonly string[] = ['j-1', 'j-2']) {
  const table = new ServerTable({ ...plan, name }, new Random(1))
  table.members = members
  table.adopt(copy, startMs)
  return table
}

function server(table: ServerTable, name: string): Server {
  const found = table.get(name)
  if (found === undefined) throw new Error(`no server ${name}`)
  return found
}

function passage(more: Partial<Passage> = {}, parts: { id: string; tokens: number }[] = []): Passage {
  const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0)
  return {
    id: '1',
    host: 'h',
    path: '/',
    arrival: { id: 'r-1', dueInMs: 1000, resumeAfter: undefined, model: 'm', adapter: '', promptTokens, parts },
    arrivedMs: startMs,
    dueMs: startMs + 1000,
    phase: 'arrived',
    route: undefined,
    service: 'llm',
    model: 'llm:m',
    adapter: '',
    attempt: 0,
    server: '',
    sends: 0,
    tried: new Set(),
    refused: false,
    avoid: new Set(),
    mayHaveRun: false,
    heldMs: startMs,
    boundMs: 0,
    sentMs: 0,
    movedMs: startMs,
    begun: false,
    blocked: false,
    resumePoint: false,
    lastEvent: undefined,
    lastWhy: '',
    delays: new DelayAccount('no_place', startMs),
    ...more,
  }
}

const chosen = (table: ServerTable, one = passage(), nowMs = startMs) => table.choose(one, nowMs)?.name

test('the server that was sent the same parts last is preferred, for as long as they are likely kept', () => {
  const parts = [
    { id: 'p', tokens: 2000 },
    { id: 'q', tokens: 1000 },
  ]
  for (const name of names) {
    const table = given()
    const one = passage({}, parts)
    table.remember(server(table, name), one, startMs)
    strictEqual(chosen(table, one), name)
    strictEqual(chosen(table, one, startMs + 19_000), name)
  }
})

test('parts count only while every part before them is kept, and for the same adapter', () => {
  const parts = [
    { id: 'p', tokens: 2000 },
    { id: 'q', tokens: 1000 },
  ]
  const fresh = (one: Passage) => chosen(given(), one)
  for (const other of [
    passage({}, [
      { id: 'x', tokens: 2000 },
      { id: 'q', tokens: 1000 },
    ]),
    passage({ adapter: 'a1' }, parts),
  ]) {
    for (const name of names) {
      const table = given()
      table.remember(server(table, name), passage({}, parts), startMs)
      strictEqual(chosen(table, other), fresh(other))
    }
  }
})

test('every gateway sends a chain that it has not seen to the same server', () => {
  const picked = (gateway: string, id: string) => chosen(given(rows(), gateway), passage({}, [{ id, tokens: 3000 }]))
  const ids = Array.from({ length: 20 }, (_, at) => `p${String(at)}`)
  for (const id of ids) strictEqual(picked('j-1', id), picked('j-2', id))
  deepStrictEqual([...new Set(ids.map((id) => picked('j-1', id)))].sort(), names)
})

test('requests that share all but their own last part come to the same server', () => {
  const picked = (id: string) =>
    chosen(
      given(),
      passage({}, [
        { id: 'shared', tokens: 3000 },
        { id, tokens: 100 },
      ]),
    )
  strictEqual(new Set(Array.from({ length: 20 }, (_, at) => picked(`own${String(at)}`))).size, 1)
})

test('a server that is full, by this gateway or by all of them, is passed over', () => {
  const table = given()
  for (const name of ['s-0', 's-1']) server(table, name).flights = 5
  for (let n = 0; n < 5; n++) strictEqual(chosen(table), 's-2')
  server(table, 's-2').flights = 1
  table.told([{ key: 's-2', count: 3 }])
  strictEqual(chosen(table), 's-2')
  table.told([{ key: 's-2', count: 4 }])
  strictEqual(chosen(table), undefined)
})

test('what this gateway told of its own flights is not counted twice', () => {
  const table = given()
  const one = server(table, 's-0')
  one.flights = 3
  one.toldFlights = 3
  table.told([{ key: 's-0', count: 4 }])
  strictEqual(one.others, 1)
  table.told([{ key: 's-0', count: 2 }])
  strictEqual(one.others, 0)
})

test('a suspect server is passed over, longer with each defect, until its time is over or it is trusted', () => {
  const table = given()
  for (const name of ['s-0', 's-1']) table.suspect(server(table, name), startMs)
  strictEqual(chosen(table), 's-2')
  const one = server(table, 's-2')
  table.suspect(one, startMs)
  const firstMs = one.suspectUntilMs - startMs
  ok(firstMs >= 0.75 * (plan.suspectMs / 8) && firstMs <= 1.25 * (plan.suspectMs / 8))
  strictEqual(chosen(table), undefined)
  for (let n = 0; n < 9; n++) table.suspect(one, startMs)
  ok(one.suspectUntilMs - startMs > firstMs && one.suspectUntilMs - startMs <= 1.25 * plan.suspectMs)
  strictEqual(table.choose(passage(), startMs + 2 * plan.suspectMs)?.service, 'llm')
  table.trust(one, 10)
  strictEqual(chosen(table), 's-2')
})

test('servers that are barred, avoided, draining, gone or of an emptied zone take nothing', () => {
  const copy = rows()
  const table = given(copy)
  table.barred = new Set(['s-0', 's-1'])
  strictEqual(chosen(table), 's-2')
  strictEqual(chosen(table, passage({ avoid: new Set(['s-2']) })), undefined)
  strictEqual(table.openServers('llm'), 1)
  table.barred = new Set()
  set(copy, 'server/s-0', { name: 's-0', address: '10.0.0.1:1', zone: 'a', service: 'llm', capacity: 4, draining: true })
  set(copy, 'server/s-1', {}, true)
  table.adopt(copy, startMs)
  strictEqual(chosen(table), 's-2')
  strictEqual(table.get('s-1'), undefined)
  set(copy, 'zone/a', {})
  table.adopt(copy, startMs)
  strictEqual(chosen(table), undefined)
  set(copy, 'zone/a', {}, true)
  table.adopt(copy, startMs)
  strictEqual(chosen(table), 's-2')
})

test('only servers that hold the model and the adapter are holders', () => {
  const copy = rows()
  set(copy, 'binding/s-0', { incarnation: 's-0', models: [], adapters: [] })
  set(copy, 'binding/s-1', { incarnation: 's-1', models: ['llm:m'], adapters: [] })
  const table = given(copy)
  const holders = (one: Passage) => table.holders(one).map(({ name }) => name)
  deepStrictEqual(holders(passage()), ['s-1', 's-2'])
  deepStrictEqual(holders(passage({ adapter: 'a1' })), ['s-2'])
  deepStrictEqual(holders(passage({ model: 'llm:none' })), [])
  deepStrictEqual(holders(passage({ model: '' })), names)
})

test('a cold server takes its few requests from as many gateways as there are half of them, the same everywhere', () => {
  const members = Array.from({ length: 12 }, (_, at) => `j-${String(at)}`)
  const tables = members.map((name) => given(rows({ coldPerS: 10, warmMs: 3000 }, { cold: true }), name, members))
  const ways = (name: string) =>
    members.filter((_, at) => {
      const table = tables[at]
      const others = new Set(names.filter((one) => one !== name))
      return table !== undefined && chosen(table, passage({ avoid: others }), startMs + 1000) === name
    })
  for (const name of names) strictEqual(ways(name).length, 3)
})

test('over ten seconds all gateways together stay within what a cold server bears', () => {
  const members = Array.from({ length: 12 }, (_, at) => `j-${String(at)}`)
  const tables = members.map((name) => given(rows({ coldPerS: 10, warmMs: 3000 }, { cold: true }), name, members))
  const only = passage({ avoid: new Set(['s-1', 's-2']) })
  let taken = 0
  for (let ms = 0; ms < 10_000; ms += 50) for (const table of tables) if (chosen(table, only, startMs + ms) === 's-0') taken += 1
  ok(taken <= 63, String(taken))
  ok(taken >= 45, String(taken))
})

test('a service that bounds nothing has no cold servers; a zone filled again counts as cold for a while', () => {
  strictEqual(given(rows({}, { cold: true })).choose(passage(), startMs)?.service, 'llm')
  const copy = rows({ coldPerS: 10, warmMs: 3000 })
  const table = given(copy)
  set(copy, 'zone/a', {})
  table.adopt(copy, startMs)
  set(copy, 'zone/a', {}, true)
  table.adopt(copy, startMs)
  for (let n = 0; n < 3; n++) table.choose(passage(), startMs + 900)
  strictEqual(chosen(table, passage(), startMs + 900), undefined)
  ok(chosen(table, passage(), startMs + 3000) !== undefined)
})
