import { test } from 'node:test'
import { sampleDefaults } from './sampleDefaults.js'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Charter } from './Charter.js'

test('dangling names, doubles and a model too large are all told at once', () => {
  const defaults = sampleDefaults
  const tree = {
    defaults,
    partners: {
      g: { services: { lobby: { servers: ['nobody'], repeatable: true } }, models: { big: { sizeMb: 99 }, one: { sizeMb: 1 } } },
      c: { limits: { dueMs: 5, intent: { weight: 3 } }, models: { one: { sizeMb: 1 } } },
    },
    fleet: { servers: { 'ms-1': { kind: 'model', roomMb: 10, places: 1 } }, storePaceMbPerS: 1, storeBurstMb: 99 },
  }
  strictEqual(
    Charter.check(tree)
      .swap()
      .orDefault([])
      .some((line) => line.startsWith('partners.c.limits.dueMs')),
    true,
  )
  tree.partners.c.limits.dueMs = 50
  deepStrictEqual(
    Charter.check(tree)
      .swap()
      .orDefault([])
      .map((line) => line.split(':')[0]),
    ['partners.g.services.lobby.servers.0', 'partners.g.models.big.sizeMb', 'partners.c.models.one'],
  )
})

test('limits are inherited leaf by leaf', () => {
  const charter = Charter.check({
    defaults: sampleDefaults,
    partners: { c: { limits: { dueMs: 50, intent: { weight: 3 } } } },
    fleet: { servers: {}, storePaceMbPerS: 1, storeBurstMb: 99 },
  })
  charter.ifLeft((errors) => {
    throw new Error(errors.join())
  })
  charter.ifRight((tree) => {
    const limits = Charter.limits(tree, 'c', { coldLimit: 7 })
    deepStrictEqual(
      [limits.dueMs, limits.coldLimit, limits.intent.weight, limits.intent.coldStartCost, limits.serverLimit],
      [50, 7, 3, 1, 8],
    )
  })
})
