import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { Roster } from './Roster.js'

test('what the owner says goes before hearsay, until it is stale', () => {
  const roster = new Roster('me', ['s1'], 100)
  roster.heard({ name: 'box-a', address: '1', role: 'signalbox', zone: 'a', identity: 'i', empty: false }, 0)
  roster.hearsay(
    [
      { name: 'box-a', address: '2', role: 'signalbox', zone: 'a' },
      { name: 'me', address: '9', role: 'signalbox', zone: 'a' },
    ],
    50,
  )
  deepStrictEqual(roster.inquiries, ['s1', '1'])
  roster.hearsay([{ name: 'box-a', address: '2', role: 'signalbox', zone: 'a' }], 150)
  deepStrictEqual(roster.inquiries, ['s1', '2'])
})
