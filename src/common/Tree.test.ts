import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { Tree } from './Tree.js'

test('a partial write changes only the leaves it names', () => {
  const base: Tree = { a: { b: 1, c: [1, 2] }, d: 'x' }
  deepStrictEqual(Tree.merge(base, { a: { b: 2 }, d: null, e: { f: true } }), { a: { b: 2, c: [1, 2] }, e: { f: true } })
  deepStrictEqual(base, { a: { b: 1, c: [1, 2] }, d: 'x' })
})

test('a branch is read and replaced by its path, and leaves are listed', () => {
  const base: Tree = { a: { b: 1 }, d: {} }
  deepStrictEqual(Tree.at(base, ['a', 'b']), 1)
  deepStrictEqual(Tree.at(base, ['a', 'x', 'y']), undefined)
  deepStrictEqual(Tree.replace(base, ['a', 'b'], 5), { a: { b: 5 }, d: {} })
  deepStrictEqual(Tree.leaves(base), [
    ['a.b', 1],
    ['d', {}],
  ])
})
