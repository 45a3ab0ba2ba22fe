import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Lent } from './Lent.js'

test('a share is counted until its lease ends, and an older grant changes nothing', () => {
  const lent = new Lent()
  lent.take(5, 100, [{ key: 'serve/s', count: 3 }])
  lent.take(4, 900, [{ key: 'serve/s', count: 9 }])
  strictEqual(lent.of('serve/s', 99), 3)
  strictEqual(lent.of('serve/s', 100), 0)
  strictEqual(lent.of('serve/t', 1), 0)
})
