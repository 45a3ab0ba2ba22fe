import { test } from 'node:test'
import { deepStrictEqual, notDeepStrictEqual, strictEqual } from 'node:assert'
import { ReplicaTable } from './ReplicaTable.js'

test('a copy follows by deltas, ignores gaps and doubles, and sums up alike', () => {
  const core = new ReplicaTable()
  const far = new ReplicaTable()
  for (let stamp = 1; stamp <= 40; stamp++) core.set({ key: `k${String(stamp % 9)}`, stamp, gone: stamp % 5 === 0, value: String(stamp) })
  strictEqual(far.adopt(7, core.stamp, core.since(7)).length, 0)
  far.adopt(0, core.stamp, core.since(0))
  far.adopt(0, core.stamp, core.since(0))
  deepStrictEqual([far.stamp, far.digests, far.under('k')], [core.stamp, core.digests, core.under('k')])
  core.set({ key: 'k1', stamp: 41, gone: false, value: 'x' })
  strictEqual(far.adopt(40, 41, core.since(40)).length, 1)
  deepStrictEqual(far.digests, core.digests)
})

test('a damaged copy is found by its digests and mended', () => {
  const core = new ReplicaTable()
  const far = new ReplicaTable()
  for (let stamp = 1; stamp <= 40; stamp++) {
    core.set({ key: `k${String(stamp)}`, stamp, gone: false, value: 'right' })
    if (stamp !== 17) far.set({ key: `k${String(stamp)}`, stamp, gone: false, value: stamp === 5 ? 'wrong' : 'right' })
  }
  notDeepStrictEqual(far.digests, core.digests)
  far.digests.forEach((sum, range) => {
    if (sum !== core.digests[range]) far.mend(range, core.inRange(range))
  })
  deepStrictEqual(far.digests, core.digests)
  strictEqual(far.get('k5'), 'right')
})
