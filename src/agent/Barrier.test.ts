import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Timings } from '../common/Timings.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { Barrier } from './Barrier.js'

test('the list takes away and never adds, until the core has read it again and its news are here', () => {
  const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12_000 })
  const copy = new ReplicaTable()
  const server = (name: string, draining = false, port = 1) => ({ name, address: `127.0.0.1:${String(port)}`, zone: 'a', draining })
  for (const [at, name] of ['kept', 'drained', 'gone', 'moved'].entries())
    copy.set({ key: `server/${name}`, stamp: at + 1, gone: false, value: JSON.stringify(server(name)) })
  const barrier = new Barrier(timings, 0)
  strictEqual(barrier.asks(timings.platformSilentMs), false)
  const later = timings.platformSilentMs + 1
  strictEqual(barrier.asks(later), true)
  strictEqual(barrier.asks(later + 1), false)
  barrier.told([server('kept'), server('drained', true), server('moved', false, 2), server('new')])
  deepStrictEqual(barrier.barred(copy, later + 2), ['drained', 'gone', 'moved'])
  barrier.core(later + 3, 9)
  deepStrictEqual(barrier.barred(copy, later + 4).length, 3)
  copy.set({ key: 'other', stamp: 9, gone: false, value: '' })
  deepStrictEqual(barrier.barred(copy, later + 5), [])
})
