import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Frame } from './Frame.js'
import { carriers } from './carriers.js'

test('frames are read however the bytes are cut', () => {
  const frame = new Frame()
  const bytes = Buffer.concat([1, 2].map((sentMs) => Frame.write('a', '127.0.0.1:1', { kind: 'peerTell', sentMs, stamp: 5 })))
  let seen = 0
  for (const byte of bytes) {
    const read = frame.read(new Uint8Array([byte]))
    if (typeof read === 'string') throw new Error(read)
    seen += read.length
  }
  strictEqual(seen, 2)
})

test('a message that only another version knows is passed by, and the line goes on', () => {
  const frame = new Frame()
  const body = carriers.encode({ kind: 'carry', from: 'a', fromAddress: 'x', body: Buffer.from([0xfa, 0x7f, 2, 8, 1]) })
  const strange = Buffer.concat([Buffer.from([0, 0, 0, body.length]), body])
  const read = frame.read(Buffer.concat([strange, Frame.write('a', 'x', { kind: 'peerTell', sentMs: 1, stamp: 5 })]))
  strictEqual(typeof read === 'string' ? read : read.length, 1)
  strictEqual(frame.passedBy, 1)
})

test('a hostile frame ends the line with a reason', () => {
  strictEqual(typeof new Frame().read(Buffer.from([255, 255, 255, 255])), 'string')
  strictEqual(typeof new Frame().read(Buffer.from([0, 0, 0, 2, 9, 9])), 'string')
})
