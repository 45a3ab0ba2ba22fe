import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { sampleDefaults } from '../common/sampleDefaults.js'
import { ReplicaTable as Copies } from './ReplicaTable.js'
import { CharterReader } from './CharterReader.js'

test('charter and terms follow the copy, and there are none before the first', () => {
  const copy = new Copies()
  const reader = new CharterReader()
  reader.follow(copy)
  strictEqual(reader.charter, undefined)
  strictEqual(reader.terms.size, 0)
  const put = (stamp: number, models: object) => {
    const tree = {
      defaults: sampleDefaults,
      partners: { c: { models } },
      fleet: { servers: { s: { kind: 'model', roomMb: 9 } }, storePaceMbPerS: 1, storeBurstMb: 9 },
    }
    copy.set({ key: 'charter', stamp, gone: false, value: JSON.stringify(tree) })
    reader.follow(copy)
  }
  put(1, { one: { sizeMb: 1 } })
  strictEqual(reader.terms.has('model one'), true)
  put(2, { two: { sizeMb: 1 } })
  strictEqual([...reader.terms.keys()].join(), 'model two')
})
