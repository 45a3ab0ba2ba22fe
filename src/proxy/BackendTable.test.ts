import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Random } from '../common/Random.js'
import { Charter } from '../common/Charter.js'
import { Timings } from '../common/Timings.js'
import { sampleDefaults } from '../common/sampleDefaults.js'
import { Terms } from '../common/Terms.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { RequestState } from './RequestState.js'
import { BackendTable } from './BackendTable.js'

const target = (chain: string[]): RequestState['target'] => ({ kind: 'model', name: 'm', adapter: '', chain })
function given(): { backends: BackendTable; copy: ReplicaTable; terms: Terms; set: (key: string, value: unknown) => void } {
  const copy = new ReplicaTable()
  const tree = Charter.check({
    defaults: { ...sampleDefaults, warmMs: 100 },
    partners: { c: { models: { m: { sizeMb: 1 } } } },
    fleet: { servers: { s: { kind: 'model', roomMb: 9 }, t: { kind: 'model', roomMb: 9 } }, storePaceMbPerS: 1, storeBurstMb: 99 },
  })
  const charter = tree.caseOf<Charter>({
    Left: (errors) => {
      throw new Error(errors.join())
    },
    Right: (one) => one,
  })
  const backends = new BackendTable('a', Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12_000 }), new Random(1))
  const set = (key: string, value: unknown) => {
    copy.set({ key, stamp: copy.stamp + 1, gone: false, value: JSON.stringify(value) })
    backends.adopt(copy, charter, 'post-1', 10_000)
  }
  set('seat/post-1', {})
  for (const name of ['s', 't']) {
    set(`server/${name}`, { name, address: '127.0.0.1:1', zone: 'b', draining: false })
    set(`binding/${name}`, { incarnation: '1', models: ['m'], adapters: [] })
  }
  const terms = Terms.of(charter).get('model m')
  if (terms === undefined) throw new Error('no terms')
  return { backends, copy, terms, set }
}

test('a report of kept parts draws a chain to its server, and what it lacks is forgotten', () => {
  const { backends, terms, set } = given()
  for (const name of ['s', 't']) {
    const backend = backends.get(name)
    if (backend !== undefined) backends.met(backend, '1', 1e6, 100, 0)
  }
  const s = backends.get('s')
  if (s !== undefined) backends.remember(s, ['x', 'y'], 0)
  strictEqual(backends.choose(target(['x', 'y']), terms, 10_000)?.name, 's')
  set('parts/t', { incarnation: '1', links: ['x', 'y'] })
  set('parts/s', { incarnation: '1', links: [] })
  strictEqual(backends.choose(target(['x', 'y']), terms, 10_000)?.name, 't')
  set('parts/t', { incarnation: 'earlier', links: [] })
  strictEqual(backends.choose(target(['x', 'y']), terms, 10_000)?.name, 't')
})

test('a server that the platform takes away is not used, and none is wanted beyond what a limit leaves', () => {
  const { backends, terms } = given()
  backends.barred = new Set(['s'])
  const t = backends.get('t')
  if (t !== undefined) {
    backends.met(t, '1', 0, 100, 10_000)
    t.flights = 1
  }
  strictEqual(backends.choose(target([]), terms, 10_000), undefined)
  deepStrictEqual(backends.asks(10_000), [{ key: 'cold/t/1', want: 1, held: 0 }])
  backends.lent.take(1, 20_000, [{ key: 'cold/t/1', count: 1 }])
  strictEqual(backends.choose(target([]), terms, 10_000)?.name, 't')
})
