import { test } from 'node:test'
import { z } from 'zod'
import { Bytes } from './Bytes.js'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Codec } from './Codec.js'

test('messages come back as they were sent, and hostile bytes give nothing', () => {
  const one = z.object({
    kind: z.literal('one'),
    name: z.string(),
    at: z.number(),
    note: z.string().optional(),
    rows: z.array(z.object({ key: z.string(), value: Bytes })),
  })
  const two = z.object({ kind: z.literal('two'), yes: z.boolean(), names: z.array(z.string()) })
  const codec = new Codec(z.discriminatedUnion('kind', [one, two]), [one, two])
  const sent = { kind: 'one' as const, name: 'x', at: 2 ** 50, rows: [{ key: 'k', value: new Uint8Array([1, 2]) }] }
  const back = codec.decode(codec.encode(sent))
  strictEqual(back?.kind === 'one' && back.rows[0]?.value[1], 2)
  strictEqual(back?.kind === 'one' && back.note, undefined)
  deepStrictEqual(codec.decode(codec.encode({ kind: 'two', yes: false, names: [] })), { kind: 'two', yes: false, names: [] })
  strictEqual(codec.decode(new Uint8Array([255, 255, 255])), undefined)
  strictEqual(codec.decode(new Uint8Array([])), undefined)
})

test('an older version reads what it knows of a newer message, a newer one reads an older with nothing in the new fields', () => {
  const older = z.object({ kind: z.literal('one'), name: z.string() })
  const newer = z.object({
    kind: z.literal('one'),
    name: z.string(),
    shares: z.array(z.object({ key: z.string(), count: z.number() })),
    barred: z.array(z.string()),
  })
  const next = z.object({ kind: z.literal('next'), at: z.number() })
  const old = new Codec(older, [older])
  const young = new Codec(z.discriminatedUnion('kind', [newer, next]), [newer, next])
  deepStrictEqual(old.decode(young.encode({ kind: 'one', name: 'x', shares: [{ key: 'k', count: 2 }], barred: ['s'] })), {
    kind: 'one',
    name: 'x',
  })
  deepStrictEqual(young.decode(old.encode({ kind: 'one', name: 'x' })), { kind: 'one', name: 'x', shares: [], barred: [] })
  strictEqual(old.decode(young.encode({ kind: 'next', at: 1 })), undefined)
})
