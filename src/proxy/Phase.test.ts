import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Phase } from './Phase.js'

test('nothing leaves a final state, and nothing streams unsent', () => {
  strictEqual(Phase.allows('responded', 'held'), false)
  strictEqual(Phase.allows('identified', 'streaming'), false)
  strictEqual(Phase.allows('sent', 'streaming'), true)
  strictEqual(Phase.final('turnedAway'), true)
})
