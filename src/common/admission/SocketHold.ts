/**
 * Holds up the reading of a connection of an HTTP server. The server itself resumes a socket whenever a body of it is read on, so
 * while it is held that has no effect.
 */
import type { Socket } from 'node:net'

export class SocketHold {
  readonly #socket: Socket
  #resumeListeners: readonly (() => void)[] = []
  #isHeld = false

  constructor(socket: Socket) {
    this.#socket = socket
  }

  get isHeld(): boolean {
    return this.#isHeld
  }

  hold(): void {
    if (this.#isHeld || this.#socket.destroyed) return
    this.#isHeld = true
    this.#resumeListeners = this.#socket.listeners('resume').map((listener) => () => {
      Reflect.apply(listener, this.#socket, [])
    })
    this.#socket.removeAllListeners('resume')
    this.#socket.pause()
  }

  release(): void {
    if (!this.#isHeld) return
    this.#isHeld = false
    for (const listener of this.#resumeListeners) this.#socket.on('resume', listener)
    if (this.#socket.destroyed) return
    // What resumed the socket meanwhile would leave nothing to resume.
    this.#socket.pause()
    this.#socket.resume()
  }
}
