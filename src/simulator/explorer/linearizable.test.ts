/**
 * The checker of histories by small examples of both kinds.
 */
import { strictEqual } from 'node:assert'
import { test } from 'node:test'
import type { Call } from './Call.js'
import { linearizable } from './linearizable.js'

const answer = (status: number) => ({ status, revision: 0, writer: '' })
const write = (operation: string, revision: number, fromMs: number, toMs: number, status: number, ifMatch = -1): Call => ({
  kind: 'write',
  operation,
  revision,
  ifMatch,
  fromMs,
  toMs,
  answer: status === 0 ? undefined : answer(status),
})
const read = (revision: number, writer: string, fromMs: number, toMs: number): Call => ({
  kind: 'read',
  operation: `read at ${String(fromMs)}`,
  revision: 0,
  ifMatch: -1,
  fromMs,
  toMs,
  answer: { status: 200, revision, writer },
})

void test('calls one after the other must be answered in that order', () => {
  const first = write('a', 1, 0, 1, 200)
  strictEqual(linearizable([first, read(1, 'a', 2, 3)]), true)
  strictEqual(linearizable([first, read(0, '', 2, 3)]), false)
  strictEqual(linearizable([first, read(0, '', 0, 3)]), true)
})

void test('reads that follow one another never go back', () => {
  const open = write('a', 1, 0, Infinity, 0)
  strictEqual(linearizable([open, read(0, '', 1, 2), read(1, 'a', 3, 4)]), true)
  strictEqual(linearizable([open, read(1, 'a', 1, 2), read(0, '', 3, 4)]), false)
  strictEqual(linearizable([open, read(1, 'a', 1, 4), read(0, '', 2, 3)]), true)
})

void test('a write of unknown outcome may take effect late or never, but not before it began', () => {
  strictEqual(linearizable([write('a', 1, 0, Infinity, 0), read(0, '', 8, 9)]), true)
  strictEqual(linearizable([write('a', 1, 5, Infinity, 0), read(1, 'a', 1, 2)]), false)
})

void test('a condition and a number that does not rise are judged where the write stands in the order', () => {
  const first = write('a', 1, 0, 1, 200)
  strictEqual(linearizable([first, write('b', 2, 2, 3, 412, 0)]), true)
  strictEqual(linearizable([first, write('b', 2, 2, 3, 200, 0)]), false)
  strictEqual(linearizable([first, write('b', 1, 2, 3, 422)]), true)
  strictEqual(linearizable([write('a', 1, 0, 9, 200), write('b', 1, 0, 9, 200)]), false)
  strictEqual(linearizable([write('a', 1, 0, 9, 200), write('b', 1, 0, 9, 422)]), true)
})

void test('attempts of one operation take effect once', () => {
  const again = [write('a', 1, 0, Infinity, 0), write('a', 1, 2, 3, 200)]
  strictEqual(linearizable([...again, read(1, 'a', 4, 5)]), true)
  strictEqual(linearizable([...again, write('b', 2, 4, 5, 200), read(1, 'a', 6, 7)]), false)
})
