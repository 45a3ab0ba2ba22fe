import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import type { SoakOrder } from './SoakOrder.js'
import { SoakMemory } from './SoakMemory.js'

const order: SoakOrder = { kind: 'load', model: 'm4', adapter: '', owner: 'core-1', fence: 5, expected: undefined }
const idle = () => 0
const fresh = () => new SoakMemory(['m1', 'm2'], new Set(), 0)

test('one order at a time, and one that already holds', () => {
  const memory = fresh()
  strictEqual(memory.take(order, 0).status, 202)
  strictEqual(memory.take({ ...order, model: 'm5' }, 1).status, 409)
  memory.tick(299, idle)
  strictEqual(memory.holds('m4', ''), false)
  memory.tick(1000, idle)
  strictEqual(memory.holds('m4', ''), true)
  strictEqual(memory.take(order, 1000).status, 200)
})

test('a lower fence, another count and an adapter of a model that is away are refused', () => {
  const memory = fresh()
  strictEqual(memory.take({ ...order, expected: 1 }, 0).status, 409)
  strictEqual(memory.take({ ...order, fence: 4 }, 0).status, 412)
  strictEqual(memory.take({ ...order, model: 'm6', adapter: 'a1' }, 0).status, 400)
})

test('a load tells what it would fill, and whether it comes from the store', () => {
  const disk = new Set<string>()
  const memory = new SoakMemory(['m1', 'm2', 'm3'], disk, 0)
  deepStrictEqual(memory.take(order, 0), { status: 202, fillsMb: 280_000, fillsPlaces: 0, fromStore: true })
  const again = new SoakMemory([], disk, 0)
  strictEqual(again.take({ ...order, model: 'm1' }, 0).fromStore, false)
})

test('an unload waits for what runs, and what is told is told late', () => {
  const memory = fresh()
  memory.take({ ...order, kind: 'unload', model: 'm1' }, 1000)
  strictEqual(memory.concerned('m1', ''), true)
  memory.tick(1010, () => 1)
  strictEqual(memory.holds('m1', ''), true)
  memory.tick(1020, idle)
  strictEqual(memory.holds('m1', ''), false)
  deepStrictEqual(
    memory.told(1100).models.map((one) => one.name),
    ['m1', 'm2'],
  )
  deepStrictEqual(
    memory.told(1300).models.map((one) => one.name),
    ['m2'],
  )
})
