import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { PlatformFormat } from './PlatformFormat.js'

test('a list is read whole or not at all', () => {
  deepStrictEqual(PlatformFormat.read('{"servers":[{"name":"a","address":"127.0.0.1:1","zone":"z"}]}'), [
    { name: 'a', address: '127.0.0.1:1', zone: 'z', draining: false },
  ])
  strictEqual(PlatformFormat.read('{"servers":[{"name":"a","address":"nowhere","zone":"z"}]}'), undefined)
  strictEqual(PlatformFormat.read('<html>'), undefined)
})
