import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { sampleDefaults } from '../common/sampleDefaults.js'
import { Tree } from '../common/Tree.js'
import { Command } from './Command.js'
import { ReplicatedState } from './ReplicatedState.js'
import { keptTexts } from './keptTexts.js'

const tree = {
  defaults: sampleDefaults,
  partners: { g: { models: { one: { sizeMb: 1 } } }, c: {} },
  fleet: { servers: { 'ms-1': { kind: 'model', roomMb: 10, places: 1 } }, storePaceMbPerS: 1, storeBurstMb: 9 },
}

test('texts read back byte for byte, also after a view; races and repeats are judged in log order', () => {
  const replicatedState = new ReplicatedState()
  const write = (index: number, operation: string, action: 'put' | 'patch' | 'rollback', branch: string, text: string, ifMatch = -1) => {
    replicatedState.apply(index, Command.encode({ kind: 'charter', operation, action, branch, text, ifMatch }))
    return replicatedState.outcome(operation)?.status
  }
  const text = ` ${JSON.stringify(tree, null, 3)}\n`
  strictEqual(write(1, 'a', 'put', '', text), 200)
  strictEqual(write(2, 'b', 'patch', 'partners.g', '{"models":{"one":{"sizeMb":2}}}', 1), 200)
  strictEqual(write(3, 'c', 'patch', 'partners.c', '{"limits":{"dueMs":20}}', 1), 412)
  strictEqual(write(4, 'd', 'put', 'partners.c', '{"fleet":{}}'), 422)
  strictEqual(write(5, 'b', 'patch', 'partners.g', '{"models":{"one":{"sizeMb":3}}}'), 200)
  strictEqual(write(6, 'e', 'put', '', 'no json'), 422)
  strictEqual(replicatedState.charterStamp, 2)
  const again = ReplicatedState.restore(replicatedState.save())
  deepStrictEqual(
    again.texts.map((one) => one.stamp),
    [1, 2],
  )
  strictEqual(again.whole(1), text)
  strictEqual(Tree.read(again.whole(2) ?? '') !== undefined, true)
  deepStrictEqual(again.copy.digests, replicatedState.copy.digests)
  replicatedState.apply(7, Command.encode({ kind: 'charter', operation: 'f', action: 'rollback', branch: '', text: '1', ifMatch: -1 }))
  strictEqual(replicatedState.whole(7), text)
})

test('more patches than are kept leave whole charters behind, each as it was', () => {
  const replicatedState = new ReplicatedState()
  replicatedState.apply(
    1,
    Command.encode({ kind: 'charter', operation: '1', action: 'put', branch: '', text: JSON.stringify(tree), ifMatch: -1 }),
  )
  const wholes = new Map<number, string | undefined>()
  for (let index = 2; index <= keptTexts.most + 40; index++) {
    const text = JSON.stringify({ partners: { c: { limits: { dueMs: index + 10 } } } })
    replicatedState.apply(
      index,
      Command.encode({ kind: 'charter', operation: String(index), action: 'patch', branch: '', text, ifMatch: -1 }),
    )
    if (index > keptTexts.most - 3) wholes.set(index, replicatedState.whole(index))
  }
  strictEqual(replicatedState.texts.length, keptTexts.most)
  const again = ReplicatedState.restore(replicatedState.save())
  for (const [stamp, whole] of wholes) strictEqual(again.whole(stamp), whole)
  strictEqual(again.whole(41)?.includes('"dueMs": 51'), true)
  strictEqual(again.whole(40), undefined)
})

test('a duty is won once a vacancy, and another epoch writes nothing', () => {
  const replicatedState = new ReplicatedState()
  const win = (index: number, vacancy: number, holder: string) => {
    replicatedState.apply(index, Command.encode({ kind: 'duty', duty: 'dispatcher', vacancy, holder, address: 'x' }))
  }
  const dispatch = (index: number, epoch: number) => {
    replicatedState.apply(index, Command.encode({ kind: 'dispatch', epoch, rows: [{ key: 'order/s', gone: false, value: String(index) }] }))
  }
  win(1, 0, 'a')
  win(2, 0, 'b')
  strictEqual(replicatedState.duty('dispatcher')?.holder, 'a')
  dispatch(3, 1)
  replicatedState.apply(4, Command.encode({ kind: 'vacate', duty: 'dispatcher', epoch: 1 }))
  dispatch(5, 1)
  win(6, 4, 'b')
  dispatch(7, 1)
  strictEqual(replicatedState.copy.get('order/s'), '3')
  strictEqual(replicatedState.duty('dispatcher')?.epoch, 6)
})
