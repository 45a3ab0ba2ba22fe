import { strictEqual } from 'node:assert'
import { test } from 'node:test'
import { ByteBuffer } from './ByteBuffer.js'
import { Random } from './Random.js'

/** Any cut of the bytes into pieces, none of them empty. */
function cut(bytes: Buffer, random: Random, mostBytes: number): Buffer[] {
  const pieces: Buffer[] = []
  for (let at = 0; at < bytes.length;) {
    const end = at + 1 + random.below(mostBytes)
    pieces.push(bytes.subarray(at, end))
    at = end
  }
  return pieces
}

test('the same bytes make the same message whatever their pieces, and one byte more than the limit is refused', () => {
  const random = new Random(7)
  for (let turn = 0; turn < 200; turn++) {
    const bytes = Buffer.from(Array.from({ length: 1 + random.below(20_000) }, () => random.below(256)))
    const pieces = cut(bytes, random, 1 + random.below(300))
    const within = new ByteBuffer(bytes.length)
    strictEqual(
      pieces.every((piece) => within.append(piece)),
      true,
    )
    strictEqual(within.bytes.equals(bytes), true)
    const beyond = new ByteBuffer(bytes.length - 1)
    strictEqual(
      pieces.every((piece) => beyond.append(piece)),
      false,
    )
  }
})

test('what is gathered after a clear does not reach what came before', () => {
  const buffer = new ByteBuffer(100)
  const first = Buffer.from('first')
  buffer.append(first)
  buffer.clear()
  buffer.append(Buffer.from('second'))
  buffer.append(Buffer.from(' and third'))
  strictEqual(buffer.bytes.toString(), 'second and third')
  strictEqual(first.toString(), 'first')
})

// Guards against a process that runs out of memory by one message in a million pieces.
test('the memory of a message depends on its bytes, not on the number of its pieces', () => {
  const count = 1_000_000
  const buffer = new ByteBuffer(count)
  const before = process.memoryUsage()
  for (let at = 0; at < count; at++) buffer.append(Buffer.from([at % 256]))
  const after = process.memoryUsage()
  strictEqual(buffer.length, count)
  strictEqual(buffer.bytes.buffer.byteLength <= 4 * count, true)
  strictEqual(after.arrayBuffers - before.arrayBuffers < 4 * count + 16_000_000, true, 'pieces are kept')
})
