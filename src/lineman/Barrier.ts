/**
 * Which servers the platform's own list takes away while the core is silent about the platform. The list
 * only ever takes away: a server it marks, lacks or has at another address is barred, a server that it
 * alone knows is not used, and what the core has told to drain stays drained. Once the core has read the
 * list again and its news are here, the core's word holds.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import { Pace } from '../gauge/Pace.js'
import { PlatformServer } from '../gauge/PlatformServer.js'
import { proof } from '../gauge/proof.js'
import { Copy } from '../interlocking/Copy.js'

export class Barrier {
  readonly #pace: Pace
  #list: readonly PlatformServer[] | undefined
  #coreReadMs: number
  #levelStamp = 0
  #askAtMs = -Infinity

  constructor(pace: Pace, nowMs: number) {
    this.#pace = pace
    this.#coreReadMs = nowMs
  }

  /** A licence tells how long ago the core's rows were the platform's list, and the stamp that has them. */
  core(readMs: number, stamp: number): void {
    if (readMs < this.#coreReadMs) return
    this.#coreReadMs = readMs
    this.#levelStamp = stamp
  }

  told(servers: readonly PlatformServer[]): void {
    this.#list = servers
  }

  /** True when this machine is to read the list itself now. */
  asks(nowMs: number): boolean {
    if (!this.#silent(nowMs) || nowMs < this.#askAtMs) return false
    this.#askAtMs = nowMs + this.#pace.platformMs
    return true
  }

  barred(copy: Copy, nowMs: number): string[] {
    if (!this.#silent(nowMs) && copy.stamp >= this.#levelStamp) this.#list = undefined
    if (this.#list === undefined) return []
    const listed = new Map(this.#list.map((one) => [one.name, one]))
    return copy.under('server/').flatMap(([name, value]) => {
      const one = listed.get(name)
      return one === undefined || one.draining || one.address !== PlatformServer.parse(JSON.parse(value)).address ? [name] : []
    })
  }

  #silent(nowMs: number): boolean {
    return nowMs - this.#coreReadMs > this.#pace.platformSilentMs
  }
}

proof(import.meta.url, {
  'the list takes away and never adds, until the core has read it again and its news are here': () => {
    const pace = Pace({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12_000 })
    const copy = new Copy()
    const server = (name: string, draining = false, port = 1) => ({ name, address: `127.0.0.1:${String(port)}`, zone: 'a', draining })
    for (const [at, name] of ['kept', 'drained', 'gone', 'moved'].entries())
      copy.set({ key: `server/${name}`, stamp: at + 1, gone: false, value: JSON.stringify(server(name)) })
    const barrier = new Barrier(pace, 0)
    strictEqual(barrier.asks(pace.platformSilentMs), false)
    const later = pace.platformSilentMs + 1
    strictEqual(barrier.asks(later), true)
    strictEqual(barrier.asks(later + 1), false)
    barrier.told([server('kept'), server('drained', true), server('moved', false, 2), server('new')])
    deepStrictEqual(barrier.barred(copy, later + 2), ['drained', 'gone', 'moved'])
    barrier.core(later + 3, 9)
    deepStrictEqual(barrier.barred(copy, later + 4).length, 3)
    copy.set({ key: 'other', stamp: 9, gone: false, value: '' })
    deepStrictEqual(barrier.barred(copy, later + 5), [])
  },
})
