/**
 * What a receiver writes back on a connection: how many bytes it got over it so far, as four bytes
 * that begin again at zero after 4 GiB. The first one, of no bytes, is its greeting. It carries nothing else, and the sender only ever believes
 * as much of it as it has sent.
 */
const ackBytes = 4
const wrapBytes = 2 ** 32

export class Acknowledgement {
  #rest: Buffer = Buffer.alloc(0)
  #newest = 0
  /** True once the other end has greeted. */
  greeted = false

  static write(receivedBytes: number): Buffer {
    const ack = Buffer.alloc(ackBytes)
    ack.writeUInt32BE(receivedBytes % wrapBytes, 0)
    return ack
  }

  /** How many bytes more than before the newest whole acknowledgement tells of. */
  read(chunk: Uint8Array): number {
    const bytes = this.#rest.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.#rest, chunk])
    const wholeBytes = bytes.length - (bytes.length % ackBytes)
    this.#rest = bytes.subarray(wholeBytes)
    if (wholeBytes === 0) return 0
    this.greeted = true
    const newest = bytes.readUInt32BE(wholeBytes - ackBytes)
    const moreBytes = (newest - this.#newest + wrapBytes) % wrapBytes
    this.#newest = newest
    return moreBytes
  }
}
