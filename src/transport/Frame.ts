/**
 * A frame on a transport line: four bytes of length, then a sender (name and address, so that the
 * other end can write back) and a message. The reader takes any cut of the byte stream and stops at
 * the first frame that is too long or carries nothing. A message of a kind that only another version knows
 * is passed by.
 */
import { carriers } from './carriers.js'
import { Codec } from './Codec.js'
import { Message } from './Message.js'

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
