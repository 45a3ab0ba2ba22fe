import { test } from 'node:test'
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { Timings } from '../common/Timings.js'
import { sampleDefaults } from '../common/sampleDefaults.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { SeatDesk } from './SeatDesk.js'

test('a small limit goes to who asks, a big one is half dealt out; nothing is lent for a server no charter names', () => {
  const copy = new ReplicaTable()
  const charter = {
    defaults: { ...sampleDefaults, retryAllowance: 10, warmMs: 100, serverLimit: 12 },
    partners: { c: { services: { b: { servers: ['s'], repeatable: true } } } },
    fleet: { servers: { s: { kind: 'service' } }, storePaceMbPerS: 1, storeBurstMb: 99 },
  }
  copy.set({ key: 'charter', stamp: 1, gone: false, value: JSON.stringify(charter) })
  for (const seat of ['p', 'q', 'r']) copy.set({ key: `seat/${seat}`, stamp: 1, gone: false, value: '{}' })
  const desk = new SeatDesk(Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12_000 }))
  desk.begin(1, 0)
  const later = desk.leases.graceUntilMs + 1
  const asks = ['cold/s/1', 'serve/s', 'serve/nobody'].map((key) => ({ key, want: 9, held: 0 }))
  const renew = (again: string[]): Parameters<SeatDesk['renew']>[0] => ({
    kind: 'renew',
    seat: 'p',
    role: 'agent',
    zone: 'a',
    session: 'x',
    sentMs: 0,
    adopted: 1,
    asks,
    echo: 0,
    again: again.map((id) => ({ id, key: 'service b' })),
    firsts: [{ key: 'service b', count: 10 }],
    peersSum: 0,
  })
  const lease = desk.renew(renew(['1', '2', '3']), 'x', copy, 0, later)
  ok(lease !== undefined)
  deepStrictEqual(lease.shares, [
    { key: 'cold/s/1', count: 2 },
    { key: 'serve/s', count: 6 },
  ])
  deepStrictEqual(lease.again, ['1', '2'])
  strictEqual(desk.exhausted.includes('cold/s/1'), true)
})

test('a lease tells whose renewal it answers, and of which term and time it is; a late renewal gets none', () => {
  const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12_000 })
  const desk = new SeatDesk(timings)
  desk.begin(4, 0)
  const renew: Parameters<SeatDesk['renew']>[0] = {
    kind: 'renew',
    seat: 'p',
    role: 'agent',
    zone: 'a',
    session: 'x',
    sentMs: 7,
    adopted: 1,
    asks: [],
    echo: 0,
    again: [],
    firsts: [],
    peersSum: 0,
  }
  const lease = desk.renew(renew, 'x', new ReplicaTable(), 0, 5000)
  deepStrictEqual([lease?.session, lease?.sentMs, lease?.term, lease?.grantedMs], ['x', 7, 4, 5000])
  const late = { ...renew, sentMs: 8, leaseTerm: 4, leaseGrantedMs: 5000 }
  strictEqual(desk.renew(late, 'x', new ReplicaTable(), 0, 5001 + timings.leaseMs), undefined)
})
