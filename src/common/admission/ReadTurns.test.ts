import { deepStrictEqual, strictEqual } from 'node:assert'
import { Socket } from 'node:net'
import { test } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { ReadTurns } from './ReadTurns.js'
import { SocketHold } from './SocketHold.js'

const fullTurn = 4000

function scene(costly: readonly boolean[]) {
  const readers = costly.map((isCostly) => ({ hold: new SocketHold(new Socket()), isCostly, isBlocked: false }))
  const held = () => readers.map(({ hold }) => hold.isHeld)
  return { readers, held, turns: new ReadTurns(() => readers) }
}

test('a turn with much work holds all connections up, and they take turns, those that cost little first', async () => {
  const { held, turns } = scene([true, false, false, true])
  turns.count(fullTurn)
  deepStrictEqual(held(), [true, true, true, true])
  const order: string[] = []
  for (let turn = 0; turn < 10 && held().includes(true); turn++) {
    await nextTurn()
    order.push(
      held()
        .map((isHeld) => (isHeld ? 'h' : '-'))
        .join(''),
    )
  }
  strictEqual(order[0]?.[0] === 'h' && order[0][3] === 'h', true, 'costly ones wait')
  deepStrictEqual(held(), [false, false, false, false])
})

test('a turn with little work holds nobody up', async () => {
  const { held, turns } = scene([false, true])
  for (let turn = 0; turn < 5; turn++) {
    turns.count(fullTurn - 1)
    await nextTurn()
  }
  deepStrictEqual(held(), [false, false])
  strictEqual(turns.holdUps, 0)
})

test('a connection that is held up for another reason stays so', async () => {
  const { readers, turns } = scene([false])
  const [reader] = readers
  if (reader !== undefined) reader.isBlocked = true
  turns.count(fullTurn)
  for (let turn = 0; turn < 5; turn++) await nextTurn()
  strictEqual(reader?.hold.isHeld, true)
})
