/**
 * A simulated network between processes: each message takes a seeded time, so messages overtake one
 * another on different connections but not on the same one, as on TCP; links are cut one way or both,
 * slowed and lossy by hosts.
 *
 * What a cut meets it holds up, and at the heal it lets it through in order, before anything newer. The
 * transport's own mechanism is modelled on top: a sender resets a connection that shows nothing for the
 * dead time, which drops what was held; a connection hangs for a while after the heal until it is made
 * anew; a connection of a process that is gone ends after twice the dead time at its receiver; and where
 * the way back is cut, nothing comes through after the dead time, for the receiver's acknowledgements don't.
 */
import type { Random } from '../common/Random.js'
import type { Message } from '../transport/Message.js'
import { SimClock } from './SimClock.js'

type Listener = (from: string, fromAddress: string, message: Message) => void
interface Parcel {
  sentMs: number
  message: Message
  hand: () => void
  sender: object | undefined
}
interface Connection {
  fromHost: string
  toHost: string
  fromAddress: string
  lastMs: number
  /** After a cut: nothing comes through before. */
  hangsUntilMs: number
  held: Parcel[]
}

export class SimNetwork {
  readonly #clock: SimClock
  readonly #random: Random
  readonly #deadMs: number
  readonly #listeners = new Map<string, { host: string; life: number; listener: Listener }>()
  readonly #connections = new Map<string, Connection>()
  readonly #cuts = new Map<string, { count: number; sinceMs: number }>()
  #lives = 0
  /** Extra delay by host, for slow links. */
  readonly slowMs = new Map<string, number>()
  lossRatio = 0
  /** False breaks the transport on purpose: connections are never reset, however long they are held up. */
  resets = true
  meter: ((fromHost: string, toHost: string, message: Message) => void) | undefined
  /** Told of each message that comes later than the transport lets it. */
  overdue: ((message: Message, ageMs: number) => void) | undefined

  constructor(clock: SimClock, random: Random, connectionDeadMs: number) {
    this.#clock = clock
    this.#random = random
    this.#deadMs = connectionDeadMs
  }

  open(address: string, host: string, listener: Listener): void {
    this.#lives += 1
    this.#listeners.set(address, { host, life: this.#lives, listener })
  }

  close(address: string): void {
    this.#listeners.delete(address)
  }

  /** Cuts the way from one host to another; several faults may cut it, and it is whole once each has mended it. */
  cut(fromHost: string, toHost: string): () => void {
    const way = `${fromHost}>${toHost}`
    const cut = this.#cuts.get(way) ?? { count: 0, sinceMs: this.#clock.nowMs }
    cut.count += 1
    this.#cuts.set(way, cut)
    return () => {
      cut.count -= 1
      if (cut.count > 0) return
      this.#cuts.delete(way)
      this.#heal(fromHost, toHost, this.#clock.nowMs - cut.sinceMs)
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
    if (target === undefined) return
    if (fromHost !== target.host && this.lossRatio > 0 && this.#random.hit(this.lossRatio)) return
    this.meter?.(fromHost, target.host, message)
    const connection = this.#connection(fromHost, fromAddress, target.host, toAddress)
    const atMs = Math.max(this.#clock.nowMs + this.delayMs(fromHost, target.host), connection.lastMs + 0.001)
    connection.lastMs = atMs
    const hand = () => {
      if (this.#listeners.get(toAddress) === target) target.listener(from, fromAddress, message)
    }
    const parcel = { sentMs: this.#clock.nowMs, message, hand, sender: this.#listeners.get(fromAddress) }
    this.#clock.at(atMs, () => {
      this.#arrive(connection, parcel)
    })
  }

  /** Each life of a process has connections of its own. */
  #connection(fromHost: string, fromAddress: string, toHost: string, toAddress: string): Connection {
    const key = `${fromAddress}#${String(this.#listeners.get(fromAddress)?.life)}>${toAddress}`
    const known = this.#connections.get(key)
    if (known !== undefined) return known
    const made = { fromHost, toHost, fromAddress, lastMs: 0, hangsUntilMs: 0, held: [] }
    this.#connections.set(key, made)
    return made
  }

  #arrive(connection: Connection, parcel: Parcel): void {
    const { fromHost, toHost, held, hangsUntilMs } = connection
    if (!this.connected(fromHost, toHost) || this.#clock.nowMs < hangsUntilMs) {
      held.push(parcel)
      while (held[0] !== undefined && this.#dropped(connection, held[0])) held.shift()
    } else if (!this.#unanswered(fromHost, toHost)) this.#hand(parcel)
  }

  #hand(parcel: Parcel): void {
    const ageMs = this.#clock.nowMs - parcel.sentMs
    if (ageMs > 2.5 * this.#deadMs) this.overdue?.(parcel.message, ageMs)
    parcel.hand()
  }

  /** True once a reset, by its sender or by its receiver, has dropped what was held. */
  #dropped({ fromAddress }: Connection, { sentMs, sender }: Parcel): boolean {
    const alive = this.#listeners.get(fromAddress) === sender
    return this.resets && this.#clock.nowMs - sentMs > (alive ? 1 : 2) * this.#deadMs
  }

  /** True where acknowledgements have been cut off for so long that the sender gave the connection up. */
  #unanswered(fromHost: string, toHost: string): boolean {
    const back = this.#cuts.get(`${toHost}>${fromHost}`)
    return this.resets && fromHost !== toHost && back !== undefined && this.#clock.nowMs - back.sinceMs > this.#deadMs
  }

  #heal(fromHost: string, toHost: string, lastedMs: number): void {
    for (const connection of this.#connections.values()) {
      if (connection.fromHost !== fromHost || connection.toHost !== toHost) continue
      const hangMs = this.#random.between(0, this.resets ? Math.min(lastedMs, this.#deadMs) : lastedMs)
      connection.hangsUntilMs = this.#clock.nowMs + hangMs
      this.#clock.at(connection.hangsUntilMs, () => {
        this.#release(connection)
      })
    }
  }

  #release(connection: Connection): void {
    if (!this.connected(connection.fromHost, connection.toHost) || this.#clock.nowMs < connection.hangsUntilMs) return
    const held = connection.held
    connection.held = []
    for (const parcel of held) if (!this.#dropped(connection, parcel)) this.#hand(parcel)
  }
}
