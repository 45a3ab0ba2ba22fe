import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { EventScanner } from './EventScanner.js'

test('events come whole with their ids, whatever the cut of the bytes', () => {
  const text = 'id: 1\ndata: a\n\nmore: 1\nid: 2\ndata: é\n\nid: 3\r\ndata: c\r\n\r\n'
  for (let size = 1; size < 20; size++) {
    const scanner = new EventScanner()
    const bytes = Buffer.from(text)
    const events: { text: string; id: string | undefined }[] = []
    for (let at = 0; at < bytes.length; at += size) events.push(...scanner.take(bytes.subarray(at, at + size)))
    deepStrictEqual(
      events.map((one) => one.id),
      ['1', '2', '3'],
    )
    strictEqual(Buffer.from(events.map((one) => one.text).join(''), 'latin1').toString(), text)
    strictEqual(scanner.partial, false)
  }
})

test('what is not whole is kept back', () => {
  const scanner = new EventScanner()
  deepStrictEqual(scanner.take(Buffer.from('id: 1\ndata')), [])
  strictEqual(scanner.partial, true)
})
