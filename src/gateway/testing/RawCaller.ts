/**
 * A caller for tests: one raw connection, and all that came over it.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'

export class RawCaller {
  text = ''
  closed = false
  readonly #socket: Socket

  constructor(address: string, sent: string) {
    const cut = address.lastIndexOf(':')
    this.#socket = connect(Number(address.slice(cut + 1)), address.slice(0, cut))
    this.#socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1')
    })
    this.#socket.on('error', () => undefined)
    this.#socket.on('close', () => {
      this.closed = true
    })
    this.#socket.write(sent)
  }

  send(text: string): void {
    this.#socket.write(text)
  }

  /** Waits until a part has come; false if the connection closed without it. */
  async until(part: string): Promise<boolean> {
    while (!this.text.includes(part) && !this.closed)
      await Promise.race([once(this.#socket, 'data'), once(this.#socket, 'close')]).catch(() => undefined)
    return this.text.includes(part)
  }

  async whole(): Promise<string> {
    if (!this.closed) await once(this.#socket, 'close')
    return this.text
  }

  pause(): void {
    this.#socket.pause()
  }

  resume(): void {
    this.#socket.resume()
  }

  /** Ends the sending half of the connection. */
  finish(): void {
    this.#socket.end()
  }

  leave(): void {
    this.#socket.destroy()
  }
}
