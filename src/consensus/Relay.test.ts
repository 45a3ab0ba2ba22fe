import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { ReplicaTable } from './ReplicaTable.js'
import { Relay } from './Relay.js'

test('a follower gets what it lacks, then what comes, until it is silent', () => {
  const copy = new ReplicaTable()
  const relay = new Relay(100)
  copy.set({ key: 'a', stamp: 1, gone: false, value: '1' })
  const follow = (stamp: number, digests: number[] = []) =>
    relay.followed('x', { kind: 'follow', seat: 's', stamp, sentMs: 0, digests }, copy, 0)
  deepStrictEqual(follow(0)[0]?.message, { kind: 'news', stamp: 1, since: 0, rows: copy.since(0) })
  strictEqual(relay.push(copy, 10).length, 0)
  copy.set({ key: 'b', stamp: 2, gone: false, value: '2' })
  deepStrictEqual(relay.push(copy, 20)[0]?.message, { kind: 'news', stamp: 2, since: 1, rows: copy.since(1) })
  strictEqual(follow(2, copy.digests).length, 1)
  strictEqual(
    follow(
      2,
      copy.digests.map((sum) => sum + 1),
    ).length,
    17,
  )
  copy.set({ key: 'c', stamp: 3, gone: false, value: '3' })
  strictEqual(relay.push(copy, 200).length, 0)
})
