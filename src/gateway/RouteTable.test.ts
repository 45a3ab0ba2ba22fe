import { ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { RouteTable } from './RouteTable.js'

function given(): { table: RouteTable; copy: ReplicaTable; set: (name: string, host: string, prefix: string, weights?: number[]) => void } {
  const table = new RouteTable()
  const copy = new ReplicaTable()
  const set = (name: string, host: string, prefix: string, weights = [1]) => {
    const services = weights.map((weight, at) => ({ service: `s${String(at)}`, weight }))
    const value = JSON.stringify({ name, host, prefix, kind: 'once', timeoutMs: 1, services })
    copy.set({ key: `route/${name}`, stamp: copy.stamp + 1, gone: false, value })
    table.adopt(copy)
  }
  return { table, copy, set }
}

test('the longest prefix of the host wins, cut at slashes alone', () => {
  const { table, set } = given()
  set('all', 'h', '/')
  set('a', 'h', '/a/')
  set('ab', 'h', '/a/b/')
  set('other', 'g', '/a/b/c/')
  strictEqual(table.find('h', '/a/b/c/d')?.name, 'ab')
  strictEqual(table.find('H:80', '/a/bc?x=/a/b/')?.name, 'a')
  strictEqual(table.find('h', '/a')?.name, 'all')
  strictEqual(table.find('g', '/a/b/')?.name, undefined)
  strictEqual(table.find('none', '/a/'), undefined)
})

test('a route that is dropped is gone, and one that moves is found at its new place only', () => {
  const { table, copy, set } = given()
  set('a', 'h', '/a/')
  set('a', 'h', '/b/')
  strictEqual(table.find('h', '/a/x'), undefined)
  strictEqual(table.find('h', '/b/x')?.name, 'a')
  copy.set({ key: 'route/a', stamp: copy.stamp + 1, gone: true, value: '' })
  table.adopt(copy)
  strictEqual(table.find('h', '/b/x'), undefined)
})

test('a split is weighed by the request, the same for the same one', () => {
  const { table, set } = given()
  set('a', 'h', '/a/', [9, 1, 0])
  const route = table.find('h', '/a/x')
  ok(route !== undefined)
  const counts = new Map<string, number>()
  for (let at = 0; at < 2000; at++) {
    const service = RouteTable.service(route, `id-${String(at)}`)
    strictEqual(RouteTable.service(route, `id-${String(at)}`), service)
    counts.set(service, (counts.get(service) ?? 0) + 1)
  }
  strictEqual(counts.get('s2'), undefined)
  ok((counts.get('s1') ?? 0) > 120 && (counts.get('s1') ?? 0) < 300)
})
