/**
 * A network in the register: its rows, its guards, what a repeat is answered, and a saved one read again.
 */
import { deepStrictEqual, match, ok, strictEqual, throws } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../common/Random.js'
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
  /** A basis of its own is that of a copy that came in at a node which had applied no more than that. */
  return (operation: string, action: 'put' | 'patch', text: string, ifMatch = -1, basis = index) => {
    index += 1
    const command = { kind: 'network' as const, operation, request: `r${String(index)}`, basis, action, text, ifMatch }
    return replicatedState.apply(index, Command.encode(command))?.outcome
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

// Guards against a scheduler that no longer knows what a retired model takes of a server that holds it on (review/2).
void test('the sizes of models that are no longer listed stay in the state until they are listed again', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  const serving = (models: string[]) => ({
    ...service('s'),
    batch: {
      capacity: 1,
      cacheTokens: 1,
      roomMb: 100,
      adapterPlaces: 1,
      loadsPerS: 1,
      models: models.map((name) => ({ name, sizeMb: 40, loadMs: 1, adapters: [], adapterMb: 2 })),
    },
  })
  const put = (revision: number, models: string[]) =>
    JSON.stringify({ revision, routes: [route('one', 's')], services: [serving(models)], limits })
  const retired = (state: ReplicatedState) => state.copy.under('retired/')
  const size = '{"sizeMb":40,"adapterMb":2}'
  strictEqual(write('a', 'put', put(1, ['m', 'n', 'o']), 0)?.status, 200)
  deepStrictEqual(retired(replicatedState), [])
  strictEqual(write('b', 'patch', JSON.stringify({ revision: 2, set: { services: [serving(['m', 'n'])] }, drop: {} }), 1)?.status, 200)
  deepStrictEqual(retired(replicatedState), [['s:o', size]])
  strictEqual(write('c', 'put', put(3, ['m']), 2)?.status, 200)
  const expected = [
    ['s:n', size],
    ['s:o', size],
  ]
  deepStrictEqual(retired(replicatedState), expected)
  deepStrictEqual(retired(ReplicatedState.restore(replicatedState.save())), expected)
  strictEqual(write('d', 'put', put(4, ['n', 'o']), 3)?.status, 200)
  deepStrictEqual(retired(replicatedState), [['s:m', size]])
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
})

void test('a delayed copy of what was refused takes no effect, though it now would; one that came in later does', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  strictEqual(write('ahead', 'put', network(2, ['one']), 1)?.status, 412)
  strictEqual(write('first', 'put', network(1, ['one']), 0)?.status, 200)
  strictEqual(write('ahead', 'put', network(2, ['one']), 1, 0)?.status, 503)
  strictEqual(replicatedState.network?.revision, 1)
  const again = ReplicatedState.restore(replicatedState.save())
  const late = { kind: 'network' as const, operation: 'ahead', request: 'r', action: 'put' as const, text: network(2, ['one']), ifMatch: 1 }
  strictEqual(again.apply(4, Command.encode({ ...late, basis: 0 }))?.outcome.status, 503)
  strictEqual(again.apply(5, Command.encode({ ...late, basis: 1 }))?.outcome.status, 200)
  strictEqual(write('unguarded', 'patch', '{"revision":3,"set":{},"drop":{"services":["s"]}}')?.status, 422)
  strictEqual(write('unguarded', 'patch', '{"revision":3,"set":{},"drop":{"services":["s"]}}', -1, 3)?.status, 503)
})

void test('refusals neither push out what was taken nor make a saved state larger', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  strictEqual(write('first', 'put', network(1, ['one']), 0)?.status, 200)
  strictEqual(write('second', 'patch', '{"revision":2,"set":{},"drop":{}}', 1)?.status, 200)
  const refuse = (from: number, to: number) => {
    for (let at = from; at < to; at++) {
      strictEqual(write(`late-${String(at)}`, 'put', network(9, ['one']), 1)?.status, 412)
      strictEqual(write(`invalid-${String(at)}`, 'put', network(2, ['one']), 2)?.status, 422)
    }
  }
  refuse(0, 10)
  const bytes = replicatedState.save().length
  refuse(10, 5000)
  strictEqual(replicatedState.save().length, bytes)
  const again = ReplicatedState.restore(replicatedState.save())
  for (const state of [replicatedState, again])
    deepStrictEqual(
      ['first', 'second', 'late-3'].map((operation) => state.networkTaken(operation)?.stamp),
      [1, 2, undefined],
    )
})

void test('a write that names a revision still to come is refused while there is room to note it, then left without judgement', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  const statuses = new Set<number | undefined>()
  for (let at = 0; at < 256; at++) statuses.add(write(`ahead-${String(at)}`, 'put', network(9, ['one']), 8)?.status)
  deepStrictEqual([...statuses], [412])
  strictEqual(write('one-more', 'put', network(9, ['one']), 8)?.status, 503)
  strictEqual(write('ahead-0', 'put', network(9, ['one']), 8)?.status, 412)
  strictEqual(write('first', 'put', network(10, ['one']), 0)?.status, 200)
  strictEqual(write('other', 'put', network(12, ['one']), 11)?.status, 412)
})

void test('of more operations than are kept the current one is known, and a forgotten one is never refused', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  const last = 1200
  for (let at = 1; at <= last; at++) strictEqual(write(`o${String(at)}`, 'put', network(at, ['one']), at - 1)?.status, 200)
  const again = ReplicatedState.restore(replicatedState.save())
  strictEqual(again.networkTaken(`o${String(last)}`)?.status, 200)
  strictEqual(again.networkTaken('o1'), undefined)
  strictEqual(write('o1', 'put', network(1, ['one']), 0)?.status, 503)
  strictEqual(write(`o${String(last - 1)}`, 'put', network(last - 1, ['one']), last - 2)?.status, 200)
  strictEqual(write('another', 'put', network(last, ['two']), last - 1)?.status, 412)
})

void test('a state saved by a newer program is refused with its version', () => {
  const newer = Buffer.from(new ReplicatedState().save()).toString().replace('"version":2', '"version":3')
  throws(() => ReplicatedState.restore(Buffer.from(newer)), /saved state has version 3; this program reads versions up to 2/)
})

/** A zone of its own; each order states the index that its node had applied. */
function zoneWriter(replicatedState: ReplicatedState) {
  let index = 0
  return (emptied: boolean, basis = index) => {
    index += 1
    const outcome = replicatedState.apply(index, Command.encode({ kind: 'zone', zone: 'a', emptied, request: 'r', basis }))?.outcome
    return [outcome?.status, outcome?.stamp]
  }
}

void test('a zone is emptied and filled; the same again waits for the change, not for its own entry', () => {
  const replicatedState = new ReplicatedState()
  const zone = zoneWriter(replicatedState)
  deepStrictEqual([zone(false), zone(true), zone(true)].flat(), [200, 0, 200, 2, 200, 2])
  strictEqual(replicatedState.copy.get('zone/a'), '{"emptied":true}')
  deepStrictEqual([zone(false), zone(true, 3), zone(true, 4)].flat(), [200, 4, 503, 4, 200, 6])
  strictEqual(replicatedState.copy.get('zone/a'), '{"emptied":true}')
  const again = ReplicatedState.restore(replicatedState.save())
  const same = again.apply(7, Command.encode({ kind: 'zone', zone: 'a', emptied: true, request: 'r', basis: 0 }))
  deepStrictEqual([same?.outcome.status, same?.outcome.stamp], [200, 6])
})

/**
 * Sends orders one after the other, each in copies until one is acknowledged or the caller gives up; copies
 * come in at nodes that lag, and wait for any time. True if the zone always was as the last acknowledged
 * order said, from then until a newer order was sent.
 */
function zoneIsKept(seed: number, stated: (basis: number) => number): boolean {
  const random = new Random(seed)
  const replicatedState = new ReplicatedState()
  const zone = zoneWriter(replicatedState)
  const copies: { order: number; emptied: boolean; basis: number }[] = []
  let index = 0
  const carryOutOne = (): { order: number; status: number | undefined } | undefined => {
    const [copy] = copies.splice(random.below(copies.length), 1)
    if (copy === undefined) return undefined
    index += 1
    const [status] = zone(copy.emptied, stated(copy.basis))
    return { order: copy.order, status }
  }
  for (let order = 0; order < 8; order++) {
    const emptied = random.hit(0.5)
    let acknowledged = false
    for (let tries = random.below(5); !acknowledged && tries >= 0; tries--) {
      copies.push({ order, emptied, basis: random.hit(0.7) ? index : random.below(index + 1) })
      while (!acknowledged && random.hit(0.7)) {
        const done = carryOutOne()
        acknowledged = done?.order === order && done.status === 200
      }
    }
    while (acknowledged && copies.length > 0 && random.hit(0.7)) {
      carryOutOne()
      if ((replicatedState.copy.get('zone/a') !== undefined) !== emptied) return false
    }
  }
  return true
}

void test('whatever copies are delayed or repeated, a zone stays as its last acknowledged order said', () => {
  const seeds = Array.from({ length: 5000 }, (_, at) => at)
  deepStrictEqual(
    seeds.filter((seed) => !zoneIsKept(seed, (basis) => basis)),
    [],
  )
  const unguarded = seeds.filter((seed) => !zoneIsKept(seed, () => Number.MAX_SAFE_INTEGER))
  ok(unguarded.length > 100, `orders without a basis fail in ${String(unguarded.length)} runs`)
})

// Guards against a refusal, without the log's judgement, of a change that was taken or may yet be.
void test('whatever is told to be superseded is refused by the log, and nothing else that it refuses for its base is missed', () => {
  const replicatedState = new ReplicatedState()
  const write = writer(replicatedState)
  const taken: string[] = []
  strictEqual(replicatedState.supersededBy(0, 'made-1'), undefined)
  for (let revision = 1; revision <= 1100; revision++) {
    const operation = `made-${String(revision)}`
    strictEqual(write(operation, 'put', network(revision, ['one']), revision - 1)?.status, 200)
    taken.push(operation)
  }
  strictEqual(replicatedState.supersededBy(1099, 'another'), 1100)
  strictEqual(write('another', 'put', network(1101, ['one']), 1099)?.status, 412)
  for (const [at, operation] of taken.entries()) strictEqual(replicatedState.supersededBy(at, operation), undefined, operation)
  // Which operation was taken on top of the oldest ones was forgotten.
  strictEqual(replicatedState.supersededBy(10, 'another'), undefined)
  strictEqual(replicatedState.supersededBy(200, 'another'), 1100)
  for (const open of [-1, 1100, 1101]) strictEqual(replicatedState.supersededBy(open, 'another'), undefined)
})
