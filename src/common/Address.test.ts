import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Address } from './Address.js'

test('addresses are IP numbers with ports', () => {
  strictEqual(Address.safeParse('127.0.0.1:7000').success, true)
  strictEqual(Address.safeParse('[::1]:7000').success, true)
  for (const wrong of ['localhost:70', '127.0.0.1', '127.0.0.1:x', '127.0.0.1:70000', ':1']) {
    strictEqual(Address.safeParse(wrong).success, false, wrong)
  }
})
