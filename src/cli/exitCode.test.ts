import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import { exitCode } from './exitCode.js'

test('each kind of end has its own code', () => {
  deepStrictEqual([200, 0, 422, 412, 504, 404].map(exitCode), [0, 1, 3, 4, 5, 6])
})
