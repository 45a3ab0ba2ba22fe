import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { PeerDirectory } from './PeerDirectory.js'

test('what the owner says goes before hearsay, until it is stale', () => {
  const directory = new PeerDirectory('me', ['s1'], 100)
  directory.heard({ name: 'box-a', address: '1', role: 'control', zone: 'a', identity: 'i', empty: false }, 0)
  directory.hearsay(
    [
      { name: 'box-a', address: '2', role: 'control', zone: 'a' },
      { name: 'me', address: '9', role: 'control', zone: 'a' },
    ],
    50,
  )
  deepStrictEqual(directory.inquiries, ['s1', '1'])
  directory.hearsay([{ name: 'box-a', address: '2', role: 'control', zone: 'a' }], 150)
  deepStrictEqual(directory.inquiries, ['s1', '2'])
})
