import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { sampleDefaults } from '../gauge/sampleDefaults.js'
import { Tree } from '../gauge/Tree.js'
import { Command } from './Command.js'
import { Register } from './Register.js'
import { keptTexts } from './keptTexts.js'

const tree = {
  defaults: sampleDefaults,
  partners: { g: { models: { one: { sizeMb: 1 } } }, c: {} },
  fleet: { servers: { 'ms-1': { kind: 'model', roomMb: 10, places: 1 } }, storePaceMbPerS: 1, storeBurstMb: 9 },
}

test('texts read back byte for byte, also after a view; races and repeats are judged in log order', () => {
  const register = new Register()
  const write = (index: number, operation: string, action: 'put' | 'patch' | 'rollback', branch: string, text: string, ifMatch = -1) => {
    register.apply(index, Command.encode({ kind: 'charter', operation, action, branch, text, ifMatch }))
    return register.outcome(operation)?.status
  }
  const text = ` ${JSON.stringify(tree, null, 3)}\n`
  strictEqual(write(1, 'a', 'put', '', text), 200)
  strictEqual(write(2, 'b', 'patch', 'partners.g', '{"models":{"one":{"sizeMb":2}}}', 1), 200)
  strictEqual(write(3, 'c', 'patch', 'partners.c', '{"limits":{"dueMs":20}}', 1), 412)
  strictEqual(write(4, 'd', 'put', 'partners.c', '{"fleet":{}}'), 422)
  strictEqual(write(5, 'b', 'patch', 'partners.g', '{"models":{"one":{"sizeMb":3}}}'), 200)
  strictEqual(write(6, 'e', 'put', '', 'no json'), 422)
  strictEqual(register.charterStamp, 2)
  const again = Register.restore(register.save())
  deepStrictEqual(
    again.texts.map((one) => one.stamp),
    [1, 2],
  )
  strictEqual(again.whole(1), text)
  strictEqual(Tree.read(again.whole(2) ?? '') !== undefined, true)
  deepStrictEqual(again.copy.digests, register.copy.digests)
  register.apply(7, Command.encode({ kind: 'charter', operation: 'f', action: 'rollback', branch: '', text: '1', ifMatch: -1 }))
  strictEqual(register.whole(7), text)
})

test('more patches than are kept leave whole charters behind, each as it was', () => {
  const register = new Register()
  register.apply(1, Command.encode({ kind: 'charter', operation: '1', action: 'put', branch: '', text: JSON.stringify(tree), ifMatch: -1 }))
  const wholes = new Map<number, string | undefined>()
  for (let index = 2; index <= keptTexts.most + 40; index++) {
    const text = JSON.stringify({ partners: { c: { limits: { dueMs: index + 10 } } } })
    register.apply(index, Command.encode({ kind: 'charter', operation: String(index), action: 'patch', branch: '', text, ifMatch: -1 }))
    if (index > keptTexts.most - 3) wholes.set(index, register.whole(index))
  }
  strictEqual(register.texts.length, keptTexts.most)
  const again = Register.restore(register.save())
  for (const [stamp, whole] of wholes) strictEqual(again.whole(stamp), whole)
  strictEqual(again.whole(41)?.includes('"dueMs": 51'), true)
  strictEqual(again.whole(40), undefined)
})

test('a duty is won once a vacancy, and another tenure writes nothing', () => {
  const register = new Register()
  const win = (index: number, vacancy: number, holder: string) => {
    register.apply(index, Command.encode({ kind: 'duty', duty: 'dispatcher', vacancy, holder, address: 'x' }))
  }
  const dispatch = (index: number, tenure: number) => {
    register.apply(index, Command.encode({ kind: 'dispatch', tenure, rows: [{ key: 'order/s', gone: false, value: String(index) }] }))
  }
  win(1, 0, 'a')
  win(2, 0, 'b')
  strictEqual(register.duty('dispatcher')?.holder, 'a')
  dispatch(3, 1)
  register.apply(4, Command.encode({ kind: 'vacate', duty: 'dispatcher', tenure: 1 }))
  dispatch(5, 1)
  win(6, 4, 'b')
  dispatch(7, 1)
  strictEqual(register.copy.get('order/s'), '3')
  strictEqual(register.duty('dispatcher')?.tenure, 6)
})
