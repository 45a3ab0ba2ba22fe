import { test } from 'node:test'
import { notStrictEqual, strictEqual } from 'node:assert'
import { digest } from './digest.js'

test('a digest is stable and tells texts apart', () => {
  strictEqual(digest('ms-1'), digest('ms-1'))
  notStrictEqual(digest('ms-1'), digest('ms-2'))
  notStrictEqual(digest('ms-1'), digest('ms-1', 1))
})
