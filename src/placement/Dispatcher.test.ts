/**
 * The placement in a network, against a small stand-in of servers that count their orders: they refuse what
 * they did not expect, fall when ordered beyond their room, lose orders and answers, and restart.
 */
import { ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../common/Random.js'
import type { Mechanism } from '../common/Mechanism.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { edgeMulti } from './edgeMulti.js'
import { StandInFleet } from './testing/StandInFleet.js'

const names = (count: number) => Array.from({ length: count }, (_, at) => `m${String(at)}`)

function pacedWell(begun: readonly number[]): void {
  for (const from of begun) {
    const within = begun.filter((atMs) => atMs >= from && atMs <= from + 5000).length
    ok(within <= StandInFleet.loadsPerS * 5 * 1.1 + 3, `${String(within)} loads from ${String(from)}`)
  }
}

void test('a request that waits gets its model at once, its adapter next, and the binding names both', () => {
  const stand = new StandInFleet(4, 3)
  stand.run(2000)
  const fromMs = stand.nowMs
  stand.request('m1', 'a2', 1, true)
  stand.run(200)
  strictEqual(stand.sent.filter((one) => one.order.kind === 'load').length, 1)
  ok((stand.sent[0]?.atMs ?? Infinity) - fromMs <= 150)
  stand.run(2500, () => {
    if (stand.nowMs % 250 === 0) stand.request('m1', 'a2', 0, true)
  })
  const [holder = ''] = stand.holders('m1')
  ok(stand.copy.get(`binding/${holder}`)?.includes('"s:m1/a2"'))
})

void test('what nothing happens at is not asked or ordered', () => {
  const stand = new StandInFleet(4, 3)
  stand.run(20_000)
  strictEqual(stand.sent.length, 0)
  ok(stand.asked <= 6)
})

void test('under random demand, lost orders and restarts no room is exceeded, no order overlaps and the store keeps its timings', () => {
  for (let seed = 1; seed <= 8; seed++) {
    const random = new Random(seed)
    const stand = new StandInFleet(20, 5)
    stand.lose = 0.15
    let life = 0
    stand.run(60_000, () => {
      if (stand.nowMs % 250 === 0) {
        const hot = random.hit(0.6) ? Math.floor(stand.nowMs / 15_000) : Math.floor(random.between(0, 20))
        const model = `m${String(hot % 20)}`
        const adapter = random.hit(0.4) ? `a${String(1 + Math.floor(random.between(0, 3)))}` : ''
        const [server] = stand.holders(model)
        if (server === undefined || adapter !== '') stand.request(model, adapter, 1, true)
        else stand.request(model, adapter, 4, false, [{ server, count: 6 }])
      }
      if (stand.nowMs % 7000 === 0) {
        const [name = ''] = [...stand.servers.keys()]
        stand.end(name)
        life += 1
        stand.start(`n${String(seed)}-${String(life)}`, 'z0', [])
      }
    })
    strictEqual(stand.falls.length, 0)
    strictEqual(stand.overlaps.length, 0)
    ok(stand.begun.length > 10)
    pacedWell(stand.begun)
  }
})

void test('every model asked for at once is loaded no faster than the store allows', () => {
  const stand = new StandInFleet(60, 24)
  stand.run(2000)
  const held = names(60).map((name) => ({ model: `s:${name}`, adapter: '', count: 1, dueInMs: 20_000 }))
  stand.run(12_000, () => {
    if (stand.nowMs % 250 !== 0) return
    const waiting = held.filter((one) => stand.holders(one.model.slice(2)).length === 0)
    stand.dispatcher.tally('edge', { session: 'x', adopted: 0, held: waiting, flights: [] }, [], stand.nowMs)
  })
  pacedWell(stand.begun)
  ok(
    names(60).every((name) => stand.holders(name).length > 0),
    `${String(stand.begun.length)} begun`,
  )
  strictEqual(stand.overlaps.length, 0)
  strictEqual(stand.sent.filter((one) => one.order.kind === 'load').length, 60)
})

void test('a busy model has two copies in different zones, and has them again after a server is lost', () => {
  const stand = new StandInFleet(6, 6)
  const busy = () => {
    if (stand.nowMs % 250 !== 0) return
    const holders = stand.holders('m0')
    if (holders.length === 0) stand.request('m0', '', 2, true)
    else
      stand.request(
        'm0',
        '',
        2,
        false,
        holders.map((server) => ({ server, count: 2 })),
      )
  }
  stand.run(10_000, busy)
  ok(stand.holders('m0').length >= 2)
  const [lost = ''] = stand.holders('m0')
  stand.end(lost)
  stand.run(5000, busy)
  ok(stand.holders('m0').length >= 2)
  const zones = new Set(stand.holders('m0').map((name) => Number(name.slice(1)) % 3))
  ok(zones.size >= 2)
  strictEqual(stand.copy.get(`binding/${lost}`), undefined)
})

function crowded(stand: StandInFleet): () => void {
  return () => {
    if (stand.nowMs % 250 !== 0) return
    const holders = stand.holders('m0')
    if (holders.length === 0) stand.request('m0', '', 20, true)
    else
      stand.request(
        'm0',
        '',
        20,
        false,
        holders.map((server) => ({ server, count: Math.ceil(120 / holders.length) })),
      )
  }
}

void test('a crowd gets more copies, and once they are there no order follows', () => {
  const stand = new StandInFleet(6, 6)
  const crowd = crowded(stand)
  stand.run(20_000, crowd)
  ok(stand.holders('m0').length >= 5)
  const orders = stand.sent.length
  stand.run(20_000, crowd)
  ok(stand.sent.length - orders <= 1, String(stand.sent.length - orders))
})

void test('room for a waiting request comes from a model outside its window, whose binding goes first', () => {
  const stand = new StandInFleet(4, 1)
  for (const model of ['m0', 'm1', 'm2']) {
    stand.request(model, '', 1, true)
    stand.run(2500)
    stand.quiet()
  }
  strictEqual(stand.servers.get('i0')?.models.size, 3)
  stand.run(10_000, () => {
    if (stand.nowMs % 250 === 0) stand.request('m2', '', 1, false, [{ server: 'i0', count: 1 }])
  })
  stand.request('m3', '', 1, true)
  stand.run(250)
  stand.request('m3', '', 0, true)
  stand.run(2500)
  const held = stand.servers.get('i0')?.models
  ok(held?.has('m3') === true && held.has('m2'))
  const unload = stand.sent.find((one) => one.order.kind === 'unload')
  ok(unload !== undefined)
  ok(!(stand.copy.get('binding/i0') ?? '').includes(`"${unload.order.model}"`))
})

void test('a copy without an answer is settled by reading, and one that was refused is decided anew', () => {
  const stand = new StandInFleet(2, 1)
  stand.run(2000)
  stand.lose = 1
  stand.request('m0', '', 1, true)
  stand.run(600)
  stand.lose = 0
  stand.run(4000, () => {
    if (stand.nowMs % 250 === 0) stand.request('m0', '', 0, stand.holders('m0').length === 0)
  })
  strictEqual(stand.holders('m0').length, 1)
  const held = stand.servers.get('i0')
  if (held !== undefined) held.sequence += 1
  stand.request('m1', '', 1, true)
  stand.run(3000, () => {
    if (stand.nowMs % 250 === 0) stand.request('m1', '', 0, stand.holders('m1').length === 0)
  })
  strictEqual(stand.holders('m1').length, 1)
})

void test('an outlook says when a copy is likely there', () => {
  const stand = new StandInFleet(2, 2)
  stand.run(2000)
  const [outlook] = stand.dispatcher.outlook([{ model: 's:m0', adapter: '' }], stand.nowMs)
  ok(outlook !== undefined && outlook.readyInMs >= StandInFleet.loadMs / 2 && outlook.readyInMs < 3000)
})

void test('a draining server and one in an emptied zone keep their binding and get no load', () => {
  const stand = new StandInFleet(3, 2)
  stand.put('zone/z0', '{"emptied":true}')
  stand.run(2000)
  stand.request('m0', '', 1, true)
  stand.run(1500)
  ok(stand.sent.every((one) => one.server === 'i1') && stand.sent.length > 0)
  stand.put('zone/z1', '{"emptied":true}')
  stand.run(500)
  ok(stand.copy.get('binding/i1')?.includes('"s:m0"'))
})

/** One request waits for m0 until its load has begun; gives the server that loads it. */
function loadsFirst(stand: StandInFleet): string {
  stand.run(2000)
  stand.request('m0', '', 1, true)
  stand.run(400)
  const [loading] = [...stand.servers].flatMap(([name, one]) => (one.doing?.order.kind === 'load' ? [name] : []))
  ok(loading !== undefined, 'a load has begun')
  return loading
}

void test('a load that has taken three times as long as planned no longer counts as one that ends soon', () => {
  const stand = new StandInFleet(2, 2)
  const held = stand.servers.get(loadsFirst(stand))
  if (held?.doing !== undefined) held.doing.untilMs = Infinity
  stand.run(3 * StandInFleet.loadMs, () => {
    if (stand.nowMs % 250 === 0) stand.request('m0', '', 0, true)
  })
  const [outlook] = stand.dispatcher.outlook([{ model: 's:m0', adapter: '' }], stand.nowMs)
  ok(outlook !== undefined && !outlook.loading, `loading, ready in ${String(outlook?.readyInMs)} ms`)
})

void test('a load at a server that no request may go to does not count as one to wait for', () => {
  const stand = new StandInFleet(2, 2)
  const name = loadsFirst(stand)
  const row = { name, address: '127.0.0.1:1', zone: 'z0', service: 's', draining: true, capacity: 32, cold: false }
  stand.put(`server/${name}`, JSON.stringify(row))
  stand.run(100)
  const [outlook] = stand.dispatcher.outlook([{ model: 's:m0', adapter: '' }], stand.nowMs)
  ok(outlook !== undefined && !outlook.loading, `loading, ready in ${String(outlook?.readyInMs)} ms`)
})

void test('a request for an adapter does not wait on for a further copy of a model that is there', () => {
  const stand = new StandInFleet(1, 2)
  stand.start('i0', 'z0', ['m0'])
  stand.run(2000)
  stand.list()
  stand.run(1000)
  const busy = () => {
    stand.request('m0', '', 10, false, [{ server: 'i0', count: 40 }])
  }
  stand.run(400, () => {
    if (stand.nowMs % 100 === 0) busy()
  })
  ok(
    [...stand.servers.values()].some((one) => one.doing?.order.kind === 'load'),
    'a further copy is being loaded',
  )
  const [outlook] = stand.dispatcher.outlook([{ model: 's:m0', adapter: 'a1' }], stand.nowMs)
  ok(outlook !== undefined && !outlook.loading, `loading, ready in ${String(outlook?.readyInMs)} ms`)
})

void test('a copy makes way only when the load that it makes way for can begin', () => {
  const stand = new StandInFleet(48, 12)
  for (let at = 0; at < 12; at++)
    stand.start(
      `i${String(at)}`,
      `z${String(at % 3)}`,
      [0, 1, 2].map((place) => `m${String(3 * at + place)}`),
    )
  stand.run(4000)
  const emptySinceMs = new Map<string, number>()
  let longestMs = 0
  stand.run(4000, () => {
    if (stand.nowMs % 250 === 0) {
      const held = Array.from({ length: 12 }, (_, at) => ({ model: `s:m${String(36 + at)}`, adapter: '', count: 1, dueInMs: 5000 }))
      stand.dispatcher.tally('edge', { session: 'x', adopted: 0, held, flights: [] }, [], stand.nowMs)
    }
    for (const [name, one] of stand.servers) {
      if (one.models.size === 3 || one.doing?.order.kind === 'load') emptySinceMs.delete(name)
      else if (!emptySinceMs.has(name)) emptySinceMs.set(name, stand.nowMs)
      longestMs = Math.max(longestMs, stand.nowMs - (emptySinceMs.get(name) ?? stand.nowMs))
    }
  })
  ok(longestMs < StandInFleet.loadMs / 2, `a place stood empty for ${String(longestMs)} ms while the load was held up by the store`)
})

void test('crowd-copies: a crowd has its copies at once, not one after the other', () => {
  const copiesAfter = (without: readonly Mechanism[]) => {
    const stand = new StandInFleet(6, 6, { ...edgeMulti, mechanisms: Mechanisms.without(without) })
    stand.run(4000, crowded(stand))
    return stand.holders('m0').length
  }
  ok(copiesAfter([]) > copiesAfter(['crowd-copies']), `${String(copiesAfter([]))} and ${String(copiesAfter(['crowd-copies']))} copies`)
})

/** Why loads were begun in the course of a crowd for one model, a steady use of another, and one that comes back at even times. */
function reasonsOfLoads(without: readonly Mechanism[]): Set<string> {
  const stand = new StandInFleet(12, 4, { ...edgeMulti, mechanisms: Mechanisms.without(without) })
  const course = () => {
    const at = stand.nowMs
    if (at % 250 !== 0) return
    for (const [model, count] of [
      ['m0', 40],
      ['m1', 1],
    ] as const) {
      const holders = stand.holders(model)
      const flights = holders.map((server) => ({ server, count: Math.ceil((2 * count) / holders.length) }))
      stand.request(model, '', count, holders.length === 0, flights)
    }
    if (at % 3000 === 0) stand.request('m2', '', 1, stand.holders('m2').length === 0)
    for (const [place, model] of ['m3', 'm4', 'm5', 'm6', 'm7', 'm8', 'm9'].entries())
      if (at % 1500 === 250 * (place % 6)) stand.request(model, '', 1, stand.holders(model).length === 0)
  }
  const seen = new Set<string>()
  stand.run(40_000, () => {
    course()
    for (const { kind, why } of stand.dispatcher.reasons) if (kind === 'load') seen.add(why.split(';')[0] ?? '')
  })
  return seen
}

for (const [mechanism, why] of [
  ['zone-spares', 'a spare in another zone'],
  ['forecast-loads', 'a request is forecast'],
] as const)
  void test(`${mechanism}: a load is begun as ${why}, unless it is switched off`, () => {
    ok(reasonsOfLoads([]).has(why))
    ok(!reasonsOfLoads([mechanism]).has(why))
  })

void test('disk-affinity: a model goes back to a server that has held it, unless that is switched off', () => {
  const placedAt = (without: readonly Mechanism[]) => {
    const stand = new StandInFleet(12, 3, { ...edgeMulti, mechanisms: Mechanisms.without(without) })
    stand.start('i2', 'z2', ['m0'])
    stand.run(4000)
    stand.servers.get('i2')?.models.delete('m0')
    stand.run(4000)
    stand.request('m0', '', 1, true)
    stand.run(1000)
    return stand.holders('m0')
  }
  strictEqual(placedAt([]).join(), 'i2')
  ok(!placedAt(['disk-affinity']).includes('i2'))
})
