import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import type { Tree } from '../common/Tree.js'
import { diagnose } from './diagnose.js'

const nodes = {
  stamp: 9,
  core: [{ seat: 'box-1', voter: true, alive: true }],
  dispatcher: { holder: 'box-1' },
  seats: [{ seat: 'post-1', zone: 'a', alive: true, adopted: 9 }],
}

const servers = [{ name: 'ms-1', zone: 'a', draining: false, binding: { models: [] }, order: null }]
const charter = { fleet: { servers: { 'ms-1': { kind: 'model' } } } }

test('a sound system has no findings', () => {
  deepStrictEqual(diagnose(nodes, servers, charter, 9), [])
})

test('each trouble is found', () => {
  const found = (...given: [Tree | undefined, Tree, Tree]) =>
    diagnose(...given, 8)
      .map((one) => one.what)
      .join()
  strictEqual(found(undefined, servers, charter), 'the core does not answer')
  strictEqual(found({ ...nodes, dispatcher: null }, servers, charter), 'nobody holds the dispatcher duty')
  strictEqual(
    found({ ...nodes, core: [{ seat: 'box-1', voter: true, alive: false }] }, servers, charter),
    'core machine box-1 does not answer',
  )
  strictEqual(
    found({ ...nodes, seats: [{ seat: 'post-1', zone: 'a', alive: true, adopted: 5 }] }, servers, charter),
    'seat post-1 works by stamp 5 of 9',
  )
  strictEqual(diagnose({ ...nodes, seats: [{ seat: 'post-1', zone: 'a', alive: false, adopted: 9 }] }, servers, charter, 8).length, 2)
  strictEqual(
    found({ ...nodes, exhausted: ['cold/ms-1/i'] }, servers, charter),
    'what ms-1 bears while cold is lent out while proxies want more',
  )
  strictEqual(found({ ...nodes, syncMs: 400 }, servers, charter), "the leader's disk takes 400 ms for a sync")
  strictEqual(
    found({ ...nodes, jumped: { byMs: -7_200_000, agoMs: 5 } }, servers, charter),
    "the leader's wall clock jumped by -7200000 ms",
  )
  const unmet = { unmet: [{ model: 'm', adapter: 'a', why: 'a request waits' }] }
  strictEqual(diagnose(nodes, servers, charter, 8, unmet)[0]?.what, 'm with a fits nowhere for now: a request waits')
  strictEqual(found(nodes, [], charter), 'server ms-1 is in the charter but the platform does not list it')
  strictEqual(found(nodes, [{ ...servers[0], binding: null }], charter), 'model server ms-1 has not reported lately')
  strictEqual(found(nodes, servers, { ...charter, zones: { b: { emptied: true } } }), 'zone b is emptied')
})
