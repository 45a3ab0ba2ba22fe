/**
 * A network in the register: its rows, its guards, what a repeat is answered, and a saved one read again.
 */
import { deepStrictEqual, match, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Command } from './Command.js'
import { ReplicatedState } from './ReplicatedState.js'

const route = (name: string, service: string, prefix = `/${name}`) => ({
  name,
  host: 'h',
  prefix,
  kind: 'repeatable',
  timeoutMs: 100,
  services: [{ service, weight: 1 }],
})
const service = (name: string) => ({ name, connections: 4 })
const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }
const network = (revision: number, names: string[]) =>
  JSON.stringify({ revision, routes: names.map((name) => route(name, 's')), services: [service('s')], limits, more: { kept: 'yes' } })

function writer(replicatedState: ReplicatedState) {
  let index = 0
  return (operation: string, action: 'put' | 'patch', text: string, ifMatch = -1) => {
    index += 1
    const proposal = `p${String(index)}`
    replicatedState.apply(index, Command.encode({ kind: 'network', operation, proposal, action, text, ifMatch }))
    return replicatedState.outcome(operation) ?? replicatedState.outcome(proposal)
  }
}

void test('rows are set for what changed alone, all under one stamp', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  strictEqual(write('a', 'put', network(1, ['one', 'two']), 0)?.status, 200)
  const patch = JSON.stringify({ revision: 5, set: { routes: [route('three', 's')] }, drop: { routes: ['one'] } })
  deepStrictEqual(write('b', 'patch', patch, 1), { status: 200, stamp: 2, errors: [] })
  deepStrictEqual(
    ['network', 'route/one', 'route/two', 'route/three', 'service/s'].map((key) => replicatedState.copy.stampOf(key)),
    [2, 2, 1, 2, 1],
  )
  strictEqual(replicatedState.copy.get('route/one'), undefined)
  deepStrictEqual(
    replicatedState.network?.routes.map((one) => one.name),
    ['two', 'three'],
  )
  const again = ReplicatedState.restore(replicatedState.save())
  deepStrictEqual(again.network, replicatedState.network)
  deepStrictEqual(again.copy.digests, replicatedState.copy.digests)
})

void test('guards and errors are told apart, and a whole state from before networks is still read', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  strictEqual(write('a', 'patch', '{}')?.status, 422)
  strictEqual(write('b', 'put', network(1, ['one']), 1)?.status, 412)
  strictEqual(write('c', 'put', 'no json')?.status, 422)
  strictEqual(write('d', 'put', network(3, ['one']), 0)?.status, 200)
  strictEqual(write('e', 'put', network(3, ['one']), 3)?.status, 422)
  const wrong = write(
    'f',
    'put',
    JSON.stringify({ revision: 4, routes: [route('x', 'nobody'), route('x', 's')], services: [service('s')], limits }),
  )
  strictEqual(wrong?.status, 422)
  match(wrong?.errors.join('\n') ?? '', /routes\.0\.services[\s\S]*routes\.1\.name/)
  strictEqual(replicatedState.network?.revision, 3)
  const old = ReplicatedState.restore(Buffer.from(JSON.stringify({ rows: [], stamp: 4, texts: [], outcomes: [] })))
  strictEqual(old.network, undefined)
})

void test('a repeat of a success has its first outcome, one of a failure is judged anew', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  strictEqual(write('late', 'put', network(2, ['one']), 1)?.status, 412)
  strictEqual(write('first', 'put', network(1, ['one']), 0)?.stamp, 2)
  strictEqual(write('late', 'put', network(2, ['one']), 1)?.stamp, 3)
  strictEqual(write('first', 'put', network(1, ['one']), 0)?.stamp, 2)
  strictEqual(replicatedState.network?.revision, 2)
  const command = { kind: 'network' as const, operation: 'x', proposal: 'same', action: 'put' as const, text: network(3, ['one']) }
  replicatedState.apply(10, Command.encode({ ...command, ifMatch: 1 }))
  replicatedState.apply(11, Command.encode({ ...command, ifMatch: 2 }))
  strictEqual(replicatedState.outcome('same')?.status, 412)
  strictEqual(replicatedState.network?.revision, 2)
})

void test('a zone is emptied and filled, and the same again changes nothing', () => {
  const replicatedState = new ReplicatedState()
  const zone = (index: number, emptied: boolean, proposal = `z${String(index)}`) => {
    replicatedState.apply(index, Command.encode({ kind: 'zone', zone: 'a', emptied, proposal }))
    return replicatedState.outcome(proposal)?.stamp
  }
  deepStrictEqual([zone(1, false), zone(2, true), zone(3, true)], [0, 2, 2])
  strictEqual(replicatedState.copy.get('zone/a'), '{"emptied":true}')
  deepStrictEqual([zone(4, false), zone(5, true, 'z2')], [4, 2])
  strictEqual(replicatedState.copy.get('zone/a'), undefined)
})
