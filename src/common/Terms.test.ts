import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { Charter } from './Charter.js'
import { sampleDefaults } from './sampleDefaults.js'
import { Terms } from './Terms.js'

test('each service and model has its own, inherited leaf by leaf', () => {
  const tree = Charter.check({
    defaults: sampleDefaults,
    partners: { c: { limits: { dueMs: 50 }, models: { one: { sizeMb: 1, adapters: ['a'], limits: { coldLimit: 1 } } } } },
    fleet: { servers: { s: { kind: 'model', roomMb: 9, places: 1 } }, storePaceMbPerS: 1, storeBurstMb: 99 },
  })
  const terms = Terms.of(
    tree.caseOf<Charter>({
      Left: (errors) => {
        throw new Error(errors.join())
      },
      Right: (charter) => charter,
    }),
  ).get('model one')
  deepStrictEqual([terms?.partner, terms?.limits.dueMs, terms?.limits.coldLimit, terms?.adapters], ['c', 50, 1, ['a']])
})
