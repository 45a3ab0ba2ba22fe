import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { ServerFormat } from './ServerFormat.js'

test('an identity is read or nothing is', () => {
  strictEqual(ServerFormat.identity('{"server":"a","incarnation":"1","upMs":3}')?.server, 'a')
  for (const wrong of ['', '{}', '[]', '{"server":1}']) strictEqual(ServerFormat.identity(wrong), undefined)
})
