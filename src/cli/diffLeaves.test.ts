import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { diffLeaves } from './diffLeaves.js'

test('leaves that came, went or changed are told', () => {
  deepStrictEqual(diffLeaves({ a: 1, b: { c: 2 }, d: [1] }, { a: 1, b: { c: 3 }, e: 'x' }), ['~ b.c 2 -> 3', '- d [1]', '+ e "x"'])
})
