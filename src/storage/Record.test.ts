import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Record } from './Record.js'
import { headBytes } from './headBytes.js'

test('a torn tail is cut wherever it tears', () => {
  const file = Buffer.concat(['one', 'two', 'three'].map((text) => Record.write(Buffer.from(text))))
  const whole = 2 * headBytes + 6
  for (let end = whole; end < file.length; end++) {
    const scan = Record.scan(file.subarray(0, end))
    deepStrictEqual([scan.records.length, scan.end, scan.corruptAt], [2, whole, undefined])
  }
})

test('damage before a valid record is corruption, at every byte', () => {
  const file = Buffer.concat(['one', 'two', 'three'].map((text) => Record.write(Buffer.from(text))))
  for (let at = 0; at < 2 * headBytes + 6; at++) {
    const damaged = Buffer.from(file)
    damaged.writeUInt8(damaged.readUInt8(at) ^ 0xff, at)
    strictEqual(Record.scan(damaged).corruptAt, at < headBytes + 3 ? 0 : headBytes + 3)
  }
})
