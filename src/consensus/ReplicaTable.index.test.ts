import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { Random } from '../common/Random.js'
import type { Row } from './Row.js'
import { ReplicaTable } from './ReplicaTable.js'

const prefixes = ['route/', 'service/', 'server/']

/** The table without an index: every question is a scan. */
class Model {
  readonly rows = new Map<string, Row>()

  set(row: Row): void {
    const old = this.rows.get(row.key)
    if (old === undefined || old.stamp < row.stamp) this.rows.set(row.key, row)
  }

  under(prefix: string): [string, string][] {
    const found = [...this.rows.values()].filter((row) => !row.gone && row.key.startsWith(prefix))
    return found.map((row): [string, string] => [row.key.slice(prefix.length), row.value]).sort(([a], [b]) => (a < b ? -1 : 1))
  }

  since(stamp: number): Row[] {
    return [...this.rows.values()].filter((row) => row.stamp > stamp).sort(byKey)
  }
}

function byKey(a: Row, b: Row): number {
  return a.key < b.key ? -1 : 1
}

function randomRow(random: Random, stamp: number): Row {
  const prefix = random.pick([...prefixes, '', 'route/deep/']) ?? ''
  return { key: `${prefix}${String(random.below(30))}`, stamp, gone: random.hit(0.25), value: String(random.below(1e6)) }
}

test('random changes, in the order of revisions or not, read back as a scan of all rows gives them', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = new Random(seed)
    const table = new ReplicaTable()
    const model = new Model()
    for (let at = 1; at <= 600; at++) {
      const row = randomRow(random, random.hit(0.8) ? at : 1 + random.below(at))
      table.set(row)
      model.set(row)
      if (!random.hit(0.1)) continue
      for (const prefix of [...prefixes, 'route/deep/', 'r', '']) deepStrictEqual(table.under(prefix), model.under(prefix))
      const stamp = random.below(at + 1)
      deepStrictEqual(table.since(stamp).sort(byKey), model.since(stamp))
    }
  }
})

test('a list that was given out stays as it was while the table goes on', () => {
  const table = new ReplicaTable()
  table.set({ key: 'route/a', stamp: 1, gone: false, value: '1' })
  const before = table.under('route/')
  table.set({ key: 'route/a', stamp: 2, gone: false, value: '2' })
  table.set({ key: 'route/b', stamp: 3, gone: false, value: '3' })
  deepStrictEqual(before, [['a', '1']])
  deepStrictEqual(table.under('route/'), [
    ['a', '2'],
    ['b', '3'],
  ])
})

test('copies that follow by deltas and by mended ranges keep the indexes of the table that they follow', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = new Random(seed)
    const core = new ReplicaTable()
    const far = new ReplicaTable()
    for (let stamp = 1; stamp <= 300; stamp++) {
      core.set(randomRow(random, stamp))
      if (random.hit(0.2)) far.adopt(far.stamp, core.stamp, core.since(far.stamp))
    }
    far.adopt(far.stamp, core.stamp, core.since(far.stamp))
    const damaged = new ReplicaTable()
    for (const row of core.dump()) if (random.hit(0.7)) damaged.set(row)
    damaged.adopt(damaged.stamp, core.stamp, [])
    damaged.digests.forEach((sum, range) => {
      if (sum !== core.digests[range]) damaged.mend(range, core.inRange(range))
    })
    for (const copy of [far, damaged]) {
      deepStrictEqual(copy.digests, core.digests)
      for (const prefix of prefixes) deepStrictEqual(copy.under(prefix), core.under(prefix))
      for (const stamp of [0, 100, 299]) deepStrictEqual(copy.since(stamp).sort(byKey), core.since(stamp).sort(byKey))
    }
  }
})
