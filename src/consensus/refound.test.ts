import { test } from 'node:test'
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { Command } from './Command.js'
import { ReplicatedState } from './ReplicatedState.js'
import { DiskRecord } from './DiskRecord.js'
import { refound } from './refound.js'

test('all that the survivor has stands, far ahead, under another system; a disk without a core gives nothing', () => {
  const members = ['a', 'b', 'c'].map((seat) => ({
    identity: `${seat}.1`,
    seat,
    address: `127.0.0.1:${String(seat.charCodeAt(0))}`,
    voter: true,
  }))
  const command = (index: number, made: Command) =>
    DiskRecord.encode({ kind: 'entry', index, term: 3, type: 'command', bytes: Command.encode(made) })
  const disk = [
    DiskRecord.encode({ kind: 'identity', identity: 'a.1', system: 'first' }),
    DiskRecord.encode({ kind: 'term', term: 3, ballot: 'a.1' }),
    DiskRecord.encode({ kind: 'entry', index: 1, term: 1, type: 'members', bytes: Buffer.from(JSON.stringify(members)) }),
    command(2, { kind: 'found', system: 'first', again: false }),
    command(3, { kind: 'duty', duty: 'dispatcher', vacancy: 0, holder: 'b', address: 'b.1' }),
    command(4, { kind: 'seat', name: 'post-1', role: 'agent', zone: 'a', retired: false, operation: '' }),
  ]
  const again = refound(disk, { seat: 'a', address: '127.0.0.1:1', system: 'second' })
  deepStrictEqual([again?.lastIndex, again?.givenUp], [4, ['b', 'c']])
  const view = again?.records.map((record) => DiskRecord.decode(record)).find((sheet) => sheet?.kind === 'snapshot')
  if (view?.kind !== 'snapshot') throw new Error('no snapshot')
  const replicatedState = ReplicatedState.restore(view.state)
  strictEqual(replicatedState.copy.get('system'), 'second')
  strictEqual(replicatedState.copy.get('seat/post-1') !== undefined, true)
  strictEqual(replicatedState.duty('dispatcher'), undefined)
  ok(view.index > 1_000_000 && view.term > 1000 && replicatedState.copy.stamp > 1_000_000)
  strictEqual(refound(disk.slice(0, 2), { seat: 'a', address: 'x', system: 's' }), undefined)
})
