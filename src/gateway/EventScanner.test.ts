import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../common/Random.js'
import { EventScanner } from './EventScanner.js'

test('events come whole with their ids, whatever the cut of the bytes', () => {
  const text = 'id: 1\ndata: a\n\nmore: 1\nid: 2\ndata: é\n\nid: 3\r\ndata: c\r\n\r\n'
  for (let size = 1; size < 20; size++) {
    const scanner = new EventScanner(undefined)
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
  const scanner = new EventScanner(undefined)
  deepStrictEqual(scanner.take(Buffer.from('id: 1\ndata')), [])
  strictEqual(scanner.partial, true)
})

const event = (id: number) => `id: ${String(id)}\ndata: x\n\n`

test('an event that comes again, or from before where the stream was to go on, ends the reading for good', () => {
  const again = new EventScanner(undefined)
  deepStrictEqual(
    again.take(Buffer.from(event(1) + event(9) + event(10) + event(9) + event(11))).map((one) => one.id),
    ['1', '9', '10'],
  )
  strictEqual(again.rewound, true)
  deepStrictEqual(again.take(Buffer.from(event(12))), [])
  const resumed = new EventScanner('4')
  deepStrictEqual(resumed.take(Buffer.from(event(4))), [])
  strictEqual(resumed.rewound, true)
})

test('comments carry no data, and an event without an id is told as such', () => {
  const scanned = new EventScanner(undefined).take(Buffer.from(': still here\n\ndata: x\n\n'))
  deepStrictEqual(
    scanned.map(({ id, data }) => [id, data]),
    [
      [undefined, false],
      [undefined, true],
    ],
  )
})

test('an event that begins with another line is told by its id wherever that stands, and goes on as it came', () => {
  const text = `weight-versions: 7\nid: 5\ndata: x\n\n${event(6)}weight-versions: 8\nevent: token\ndata: y\nid: 9\n\n`
  for (let size = 1; size <= text.length; size++) {
    const scanner = new EventScanner('4')
    const events = []
    for (let at = 0; at < text.length; at += size) events.push(...scanner.take(Buffer.from(text.slice(at, at + size))))
    deepStrictEqual(
      events.map(({ id, data }) => [id, data]),
      [
        ['5', true],
        ['6', true],
        ['9', true],
      ],
    )
    strictEqual(events.map((one) => one.text).join(''), text)
  }
})

test('any cut of a stream into pieces gives the same events', () => {
  const random = new Random(11)
  const parts = ['id: 1\n', 'data: a\n', '\n', '\r\n', '\r', ': told\n\n', 'id: 2\r\n\r\n', 'data: \r\r\n', 'id: 3\ndata\n\n', '\n\n', 'x']
  for (let turn = 0; turn < 500; turn++) {
    const text = Array.from({ length: 1 + random.below(12) }, () => random.pick(parts) ?? '').join('')
    const bytes = Buffer.from(text, 'latin1')
    const whole = new EventScanner(undefined)
    const expected = whole.take(bytes)
    const pieces = new EventScanner(undefined)
    const events: typeof expected = []
    for (let at = 0; at < bytes.length;) {
      const end = at + 1 + random.below(4)
      events.push(...pieces.take(bytes.subarray(at, end)))
      at = end
    }
    deepStrictEqual(events, expected, JSON.stringify(text))
    deepStrictEqual([pieces.partial, pieces.rewound], [whole.partial, whole.rewound], JSON.stringify(text))
    const ends = [...text.matchAll(/[^]*?\r?\n\r?\n/g)].map(([event]) => event)
    if (!whole.rewound)
      deepStrictEqual(
        expected.map((one) => one.text),
        ends,
        JSON.stringify(text),
      )
  }
})

// Guards against a stream of one endless event, whose every piece was searched from its beginning.
test('an event without an end is given up when it is too long, and each piece costs the same until then', () => {
  const scanner = new EventScanner(undefined)
  const piece = Buffer.from('x')
  let taken = 0
  while (!scanner.overlong && taken < 4_000_000) {
    deepStrictEqual(scanner.take(piece), [])
    taken += 1
  }
  strictEqual(taken, 1_000_001)
})
