/**
 * A simulated network between processes: each message takes a seeded time, so messages overtake one
 * another on different links but not on the same one, as on TCP; links are cut one way or both, slowed
 * and lossy by hosts.
 */
import type { Random } from '../common/Random.js'
import type { Message } from '../transport/Message.js'
import { SimClock } from './SimClock.js'

type Listener = (from: string, fromAddress: string, message: Message) => void

export class SimNetwork {
  readonly #clock: SimClock
  readonly #random: Random
  readonly #listeners = new Map<string, { host: string; listener: Listener }>()
  readonly #lastMs = new Map<string, number>()
  readonly #cuts = new Map<string, number>()
  /** Extra delay by host, for slow links. */
  readonly slowMs = new Map<string, number>()
  lossRatio = 0
  meter: ((fromHost: string, toHost: string, message: Message) => void) | undefined

  constructor(clock: SimClock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  open(address: string, host: string, listener: Listener): void {
    this.#listeners.set(address, { host, listener })
  }

  close(address: string): void {
    this.#listeners.delete(address)
  }

  /** Cuts the way from one host to another; several faults may cut it, and it is whole once each has mended it. */
  cut(fromHost: string, toHost: string): () => void {
    const way = `${fromHost}>${toHost}`
    this.#cuts.set(way, (this.#cuts.get(way) ?? 0) + 1)
    return () => {
      const left = (this.#cuts.get(way) ?? 1) - 1
      if (left === 0) this.#cuts.delete(way)
      else this.#cuts.set(way, left)
    }
  }

  connected(fromHost: string, toHost: string): boolean {
    return fromHost === toHost || !this.#cuts.has(`${fromHost}>${toHost}`)
  }

  delayMs(fromHost: string, toHost: string): number {
    if (fromHost === toHost) return 0.05 + this.#random.next() * 0.1
    return 0.3 + this.#random.next() * 1.2 + (this.slowMs.get(fromHost) ?? 0) + (this.slowMs.get(toHost) ?? 0)
  }

  send(from: string, fromHost: string, fromAddress: string, toAddress: string, message: Message): void {
    const target = this.#listeners.get(toAddress)
    if (target === undefined || !this.connected(fromHost, target.host)) return
    if (fromHost !== target.host && this.lossRatio > 0 && this.#random.hit(this.lossRatio)) return
    this.meter?.(fromHost, target.host, message)
    const line = `${fromAddress}>${toAddress}`
    const atMs = Math.max(this.#clock.nowMs + this.delayMs(fromHost, target.host), (this.#lastMs.get(line) ?? 0) + 0.001)
    this.#lastMs.set(line, atMs)
    this.#clock.at(atMs, () => {
      if (this.#listeners.get(toAddress) !== target || !this.connected(fromHost, target.host)) return
      target.listener(from, fromAddress, message)
    })
  }
}
