/**
 * Cuts a process's own outgoing connections by address, as a cut of the network would: nothing is refused,
 * it only goes no further. Connections that are made meanwhile hang, what is written or comes in is held, and
 * all goes on once the cut is healed. It works on the sockets of the process that it is set up in, under any
 * library, so the product's programs run unchanged.
 */
import { Socket } from 'node:net'
import { z } from 'zod'

const Destination = z.object({ host: z.string() })
const Text = z.string()

interface Held {
  socket: Socket
  host: string
  waiting: (() => void)[]
}

function method(name: string): (on: Socket, given: unknown[]) => unknown {
  const found: unknown = Reflect.get(Socket.prototype, name)
  if (typeof found !== 'function') throw new Error(`${name}: no method of a socket here`)
  return (on, given) => {
    const result: unknown = Reflect.apply(found, on, given)
    return result
  }
}

export class HeldLinks {
  readonly #links = new Set<Held>()
  #cut: ReadonlySet<string> = new Set()

  /** From now on this process's outgoing connections obey. */
  install(): void {
    const connect = method('connect')
    const links = { add: (socket: Socket, host: string) => this.#watch(socket, host), held: (one: Held) => this.#holds(one) }
    Reflect.set(Socket.prototype, 'connect', function (this: Socket, ...given: unknown[]): Socket {
      const [first] = given.flat()
      const host = Destination.safeParse(first).data?.host ?? Text.safeParse(given[1]).data ?? ''
      const link = links.add(this, host)
      if (!links.held(link)) connect(this, given)
      else {
        // What is written before the connection is made waits for it.
        Reflect.set(this, 'connecting', true)
        link.waiting.push(() => {
          if (!this.destroyed) connect(this, given)
        })
      }
      return this
    })
  }

  /** Cuts off just these addresses. */
  cut(hosts: readonly string[]): void {
    this.#cut = new Set(hosts)
    for (const link of this.#links) while (!this.#holds(link) && link.waiting.length > 0) link.waiting.shift()?.()
  }

  #holds(link: Held): boolean {
    return this.#cut.has(link.host)
  }

  #watch(socket: Socket, host: string): Held {
    const link: Held = { socket, host, waiting: [] }
    this.#links.add(link)
    socket.once('close', () => this.#links.delete(link))
    for (const name of ['_write', '_writev', '_final', 'push']) {
      const original = method(name)
      const through = (...given: unknown[]): unknown => {
        if (!this.#holds(link) && link.waiting.length === 0) return original(socket, given)
        link.waiting.push(() => {
          if (!socket.destroyed) original(socket, given)
        })
        return true
      }
      Reflect.set(socket, name, through)
    }
    return link
  }
}
