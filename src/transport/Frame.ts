/**
 * A frame on a connection: four bytes of length, then a sender (name and address, so that the other
 * end can write back), a message and, where the sender says it, the cluster that it belongs to. The
 * reader takes any cut of the byte stream. It ends the connection at the first frame that is too long
 * or carries nothing; a message of a kind that only another version knows is passed by.
 */
import { ByteBuffer } from '../common/ByteBuffer.js'
import { carriers } from './carriers.js'
import { Codec } from './Codec.js'
import { Message } from './Message.js'

interface Received {
  from: string
  fromAddress: string
  message: Message
  /** Empty where the sender did not say it in this frame. */
  cluster: string
}
const messages = new Codec<Message>(Message.schema, Message.options)
const headerBytes = 4
const limitBytes = 32 * 1024 * 1024

export class Frame {
  /** Bytes of a frame that is not whole yet. */
  readonly #rest = new ByteBuffer(Infinity)
  /** How many bytes must be there before there is anything to read. */
  #neededBytes = headerBytes
  /** What is held of a frame that is not whole yet, in bytes. */
  get heldBytes(): number {
    return this.#rest.length
  }

  /** Messages of a kind that this version does not know: told by whoever reads, never guessed at. */
  passedBy = 0

  static write(from: string, fromAddress: string, message: Message, cluster = ''): Buffer {
    const sender = { kind: 'carry' as const, from, fromAddress, body: messages.encode(message) }
    const body = carriers.encode(cluster === '' ? sender : { ...sender, cluster })
    const frame = Buffer.alloc(headerBytes + body.length)
    frame.writeUInt32BE(body.length, 0)
    frame.set(body, headerBytes)
    return frame
  }

  /** Gives the whole frames so far, or the reason why this connection must be closed. */
  read(chunk: Uint8Array): Received[] | string {
    const bytes = this.#gather(chunk)
    if (bytes === undefined) return []
    const received: Received[] = []
    let at = 0
    this.#neededBytes = headerBytes
    while (bytes.length - at >= headerBytes) {
      const length = bytes.readUInt32BE(at)
      if (length > limitBytes) return `a frame of ${String(length)} bytes is over the limit`
      this.#neededBytes = headerBytes + length
      if (bytes.length - at < this.#neededBytes) break
      const carried = carriers.decode(bytes.subarray(at + headerBytes, at + this.#neededBytes))
      if (carried === undefined) return 'a frame holds no message'
      const message = messages.decode(carried.body)
      if (message === undefined) this.passedBy += 1
      else received.push({ from: carried.from, fromAddress: carried.fromAddress, message, cluster: carried.cluster ?? '' })
      at += this.#neededBytes
      this.#neededBytes = headerBytes
    }
    this.#keep(bytes.subarray(at))
    return received
  }

  /** Forgets what is held. */
  clear(): void {
    this.#rest.clear()
  }

  /** Copies what is left, as the chunk that it came in is larger. */
  #keep(rest: Buffer): void {
    if (rest.length > 0) this.#rest.append(Buffer.from(rest))
  }

  /** What there is to read, once a frame is whole. */
  #gather(chunk: Uint8Array): Buffer | undefined {
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
    if (this.#rest.length === 0) return bytes
    this.#rest.append(bytes)
    return this.#rest.length < this.#neededBytes ? undefined : this.#rest.take()
  }
}
