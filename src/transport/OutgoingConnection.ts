/**
 * One connection to an address, from the dial to its end. Nothing is written before the other end has
 * greeted, so bytes that a cut holds up on the way to a connection which was given up meanwhile are never
 * messages. It keeps account of what was sent and what the other end has acknowledged: bytes that wait
 * for an acknowledgement for longer than the dead time show that the connection is cut, or was never
 * made. It is then reset, and what was buffered goes with it.
 */
import { connect, type Socket } from 'node:net'
import { Acknowledgement } from './Acknowledgement.js'

/** More than a large snapshot, which goes in one frame; a frame alone may be larger. */
const backlogBytes = 6 * 1024 * 1024

export class OutgoingConnection {
  /** The cluster that the other end was told last. */
  toldCluster = ''
  readonly #socket: Socket
  readonly #acknowledgement = new Acknowledgement()
  readonly #clockMs: () => number
  /** What waits for the greeting. */
  #ungreeted: Buffer[] = []
  #ungreetedBytes = 0
  #sentMs: number
  /** Bytes that were sent and not acknowledged. */
  #openBytes = 0
  /** When the oldest of them was sent, or when the other end last showed that it still gets them. */
  #waitsFromMs: number

  constructor(address: string, clockMs: () => number, ended: () => void) {
    this.#clockMs = clockMs
    this.#waitsFromMs = clockMs()
    this.#sentMs = this.#waitsFromMs
    const cut = address.lastIndexOf(':')
    const host = address.slice(0, cut).replace(/^\[|\]$/g, '')
    this.#socket = connect({ host, port: Number(address.slice(cut + 1)), noDelay: true })
    this.#socket.on('data', (chunk) => {
      this.#acknowledged(this.#acknowledgement.read(chunk))
      if (this.#acknowledgement.greeted && this.#ungreeted.length > 0) this.#greeted()
    })
    const gone = () => {
      this.#socket.destroy()
      ended()
    }
    this.#socket.on('error', gone)
    this.#socket.on('end', gone)
    this.#socket.on('close', gone)
  }

  /** Sends, unless too much waits already; a frame always goes when nothing waits. */
  send(frame: Buffer): boolean {
    const waitingBytes = this.#socket.writableLength + this.#ungreetedBytes
    if (waitingBytes > 0 && waitingBytes + frame.length > backlogBytes) return false
    this.#sentMs = this.#clockMs()
    if (this.#openBytes === 0 && this.#acknowledgement.greeted) this.#waitsFromMs = this.#sentMs
    this.#openBytes += frame.length
    if (this.#acknowledgement.greeted) this.#socket.write(frame)
    else {
      this.#ungreeted.push(frame)
      this.#ungreetedBytes += frame.length
    }
    return true
  }

  /** Since when nothing was sent, once all that was sent is acknowledged. */
  get idleFromMs(): number | undefined {
    return this.#openBytes === 0 ? this.#sentMs : undefined
  }

  /** Since when the other end has shown nothing of what it was sent; nothing while it has shown all. */
  get waitsFromMs(): number | undefined {
    return this.#openBytes === 0 ? undefined : this.#waitsFromMs
  }

  /** Ends a connection that nothing waits on. */
  end(): void {
    this.#socket.end()
  }

  /** Ends the connection at once. What the kernel still holds of it is thrown away, not delivered after the cut. */
  reset(): void {
    if (this.#socket.connecting) this.#socket.destroy()
    else this.#socket.resetAndDestroy()
  }

  #greeted(): void {
    this.#waitsFromMs = this.#clockMs()
    this.#socket.cork()
    for (const frame of this.#ungreeted) this.#socket.write(frame)
    this.#socket.uncork()
    this.#ungreeted = []
    this.#ungreetedBytes = 0
  }

  #acknowledged(moreBytes: number): void {
    if (moreBytes === 0 || moreBytes > this.#openBytes) return
    this.#openBytes -= moreBytes
    this.#waitsFromMs = this.#clockMs()
  }
}
