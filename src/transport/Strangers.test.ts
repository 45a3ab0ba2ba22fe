import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Strangers } from './Strangers.js'

function scene(limitBytes: number) {
  const closed: string[] = []
  const holder = (name: string) => ({ close: () => void closed.push(name) })
  return { closed, holder, strangers: new Strangers(limitBytes) }
}

test('the stranger that has held longest makes way for the newest', () => {
  const { closed, holder, strangers } = scene(100_000)
  const [a, b, c] = [holder('a'), holder('b'), holder('c')]
  strangers.hold(a, 40_000)
  strangers.hold(b, 40_000)
  strangers.hold(c, 40_000)
  deepStrictEqual(closed, ['a'])
  strictEqual(strangers.bytes, 80_000)
  strangers.delete(b)
  strangers.delete(c)
  strictEqual(strangers.bytes, 0)
})

test('small frames count for nothing, and a large one alone may go over the bound', () => {
  const { closed, holder, strangers } = scene(100_000)
  for (let at = 0; at < 1000; at++) strangers.hold(holder(String(at)), 16_384)
  strangers.hold(holder('large'), 5_000_000)
  deepStrictEqual(closed, [])
})
