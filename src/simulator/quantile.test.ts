import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { quantile } from './quantile.js'

test('quantiles of few figures', () => {
  deepStrictEqual([quantile([], 0.5), quantile([3], 0.99), quantile([5, 1, 3], 0.5)], [0, 3, 3])
})
