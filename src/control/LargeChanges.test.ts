import { notStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { LargeChanges } from './LargeChanges.js'

test('turns come one at a time and in order, and one that did not come in time is not taken later', async () => {
  const changes = new LargeChanges()
  const endFirst = await changes.takeTurn(1000)
  notStrictEqual(endFirst, undefined)
  strictEqual(await changes.takeTurn(20), undefined)
  const third = changes.takeTurn(1000)
  endFirst?.()
  const endThird = await third
  notStrictEqual(endThird, undefined)
  endThird?.()
  notStrictEqual(await changes.takeTurn(20), undefined)
})
