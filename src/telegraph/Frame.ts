/**
 * A frame on a telegraph line: four bytes of length, then a sender (name and address, so that the
 * other end can write back) and a message. The reader takes any cut of the byte stream and stops at
 * the first frame that is too long or carries nothing. A message of a kind that only another version knows
 * is passed by.
 */
import { z } from 'zod'
import { proof } from '../gauge/proof.js'
import { strictEqual } from 'node:assert'
import { Bytes } from './Bytes.js'
import { Codec } from './Codec.js'
import { Message } from './Message.js'

const Carrier = z.object({ kind: z.literal('carry'), from: z.string(), fromAddress: z.string(), body: Bytes })
const carriers = new Codec(Carrier, [Carrier])
const messages = new Codec<Message>(Message.schema, Message.options)
const limitBytes = 64 * 1024 * 1024

export class Frame {
  #rest: Buffer = Buffer.alloc(0)
  /** Messages of a kind that this version does not know: told by whoever reads, never guessed at. */
  passedBy = 0

  static write(from: string, fromAddress: string, message: Message): Buffer {
    const body = carriers.encode({ kind: 'carry', from, fromAddress, body: messages.encode(message) })
    const frame = Buffer.alloc(4 + body.length)
    frame.writeUInt32BE(body.length, 0)
    frame.set(body, 4)
    return frame
  }

  /** Gives the whole frames so far, or the reason why this line must be closed. */
  read(chunk: Uint8Array): { from: string; fromAddress: string; message: Message }[] | string {
    this.#rest = this.#rest.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.#rest, chunk])
    const read: { from: string; fromAddress: string; message: Message }[] = []
    let at = 0
    while (this.#rest.length - at >= 4) {
      const length = this.#rest.readUInt32BE(at)
      if (length > limitBytes) return `a frame of ${String(length)} bytes is over the limit`
      if (this.#rest.length - at - 4 < length) break
      const carried = carriers.decode(this.#rest.subarray(at + 4, at + 4 + length))
      if (carried === undefined) return 'a frame holds no message'
      const message = messages.decode(carried.body)
      if (message === undefined) this.passedBy += 1
      else read.push({ from: carried.from, fromAddress: carried.fromAddress, message })
      at += 4 + length
    }
    this.#rest = this.#rest.subarray(at)
    return read
  }
}

proof(import.meta.url, {
  'frames are read however the bytes are cut': () => {
    const frame = new Frame()
    const bytes = Buffer.concat([1, 2].map((sentMs) => Frame.write('a', '127.0.0.1:1', { kind: 'peerTell', sentMs, stamp: 5 })))
    let seen = 0
    for (const byte of bytes) {
      const read = frame.read(new Uint8Array([byte]))
      if (typeof read === 'string') throw new Error(read)
      seen += read.length
    }
    strictEqual(seen, 2)
  },
  'a message that only another version knows is passed by, and the line goes on': () => {
    const frame = new Frame()
    const body = carriers.encode({ kind: 'carry', from: 'a', fromAddress: 'x', body: Buffer.from([0xfa, 0x7f, 2, 8, 1]) })
    const strange = Buffer.concat([Buffer.from([0, 0, 0, body.length]), body])
    const read = frame.read(Buffer.concat([strange, Frame.write('a', 'x', { kind: 'peerTell', sentMs: 1, stamp: 5 })]))
    strictEqual(typeof read === 'string' ? read : read.length, 1)
    strictEqual(frame.passedBy, 1)
  },
  'a hostile frame ends the line with a reason': () => {
    strictEqual(typeof new Frame().read(Buffer.from([255, 255, 255, 255])), 'string')
    strictEqual(typeof new Frame().read(Buffer.from([0, 0, 0, 2, 9, 9])), 'string')
  },
})
