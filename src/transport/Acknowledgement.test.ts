import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Acknowledgement } from './Acknowledgement.js'

test('tells how much more came, however its bytes are cut, also past four gigabytes', () => {
  const reader = new Acknowledgement()
  strictEqual(reader.read(Acknowledgement.write(2 ** 32 - 10)), 2 ** 32 - 10)
  const next = Acknowledgement.write(2 ** 32 + 5)
  strictEqual(reader.read(next.subarray(0, 3)), 0)
  strictEqual(reader.read(next.subarray(3)), 15)
  strictEqual(reader.read(Buffer.concat([Acknowledgement.write(2 ** 32 + 6), Acknowledgement.write(2 ** 32 + 9)])), 4)
})
