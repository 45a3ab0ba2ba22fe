/**
 * The leader's account of who holds a lease and which stamp each seat has adopted. It lives in
 * memory only: a new leader knows nothing of what its predecessor granted, so it treats no lease
 * as lost until that predecessor's last one must have run out.
 */
import { Timings } from '../common/Timings.js'

interface Held {
  session: string
  address: string
  zone: string
  adopted: number
  grantedMs: number
  heardMs: number
}
const margin = 1.1
const forgetAfter = 10

export class Leases {
  readonly #timings: Timings
  readonly #held = new Map<string, Held>()
  #behindSince = new Map<number, number>()
  #graceUntilMs = Infinity
  /** The seat that was last waited for, looked at first the next time. */
  #laggard = ''

  constructor(timings: Timings) {
    this.#timings = timings
  }

  /** A new leader starts over, and waits until no lease of an earlier one can be alive. */
  begin(nowMs: number): void {
    this.#held.clear()
    this.#behindSince.clear()
    this.#graceUntilMs = nowMs + this.#timings.electionMs + margin * this.#timings.leaseMs
  }

  /** Until then a lease of an earlier leader may be alive. */
  get graceUntilMs(): number {
    return this.#graceUntilMs
  }

  /** A charter that may have been acknowledged by an earlier leader is required at once: it was made long ago. */
  charterMade(stamp: number, atMs: number): void {
    this.#behindSince.set(stamp, atMs)
  }

  get seats(): readonly [string, Held][] {
    return [...this.#held]
  }

  alive(seat: string, nowMs: number): boolean {
    return nowMs <= this.aliveUntilMs(seat)
  }

  /** Until when a seat counts as alive if it is not heard again. */
  aliveUntilMs(seat: string): number {
    const held = this.#held.get(seat)
    return held === undefined ? -Infinity : held.heardMs + margin * this.#timings.leaseMs
  }

  /** Grants a lease, unless the seat has been behind a charter for too long. */
  renew(seat: string, session: string, address: string, zone: string, adopted: number, nowMs: number): boolean {
    const old = this.#held.get(seat)
    let granted = true
    for (const [stamp, sinceMs] of this.#behindSince) if (adopted < stamp && nowMs - sinceMs > this.#timings.adoptMs) granted = false
    this.#held.set(seat, { session, address, zone, adopted, grantedMs: granted ? nowMs : (old?.grantedMs ?? -Infinity), heardMs: nowMs })
    return granted
  }

  /** Forgets seats that are long gone, where they come and go. */
  forget(nowMs: number): void {
    for (const [seat, held] of this.#held) if (nowMs - held.heardMs > forgetAfter * this.#timings.leaseMs) this.#held.delete(seat)
  }

  /** True once every seat whose lease may be alive works by this stamp, or has been waited for long enough. */
  adopted(stamp: number, sinceMs: number, nowMs: number): boolean {
    if (nowMs - sinceMs >= this.#timings.deliverMs) return true
    if (nowMs <= this.#graceUntilMs) return false
    if (this.#isWaitedFor(this.#laggard, stamp, nowMs)) return false
    for (const seat of this.#held.keys()) {
      if (!this.#isWaitedFor(seat, stamp, nowMs)) continue
      this.#laggard = seat
      return false
    }
    return true
  }

  #isWaitedFor(seat: string, stamp: number, nowMs: number): boolean {
    const held = this.#held.get(seat)
    return held !== undefined && held.adopted < stamp && !this.#surelyLost(seat, nowMs)
  }

  #surelyLost(seat: string, nowMs: number): boolean {
    const held = this.#held.get(seat)
    return nowMs > this.#graceUntilMs && (held === undefined || nowMs - held.grantedMs > margin * this.#timings.leaseMs)
  }

  /** True once a majority of the seats works by this stamp and every other one surely stopped. */
  delivered(stamp: number, seats: readonly string[], nowMs: number): boolean {
    const behind = seats.filter((seat) => (this.#held.get(seat)?.adopted ?? 0) < stamp)
    const done = (seats.length === 0 || behind.length * 2 < seats.length) && behind.every((seat) => this.#surelyLost(seat, nowMs))
    if (!done) return false
    for (const older of this.#behindSince.keys()) if (older < stamp) this.#behindSince.delete(older)
    if (this.#behindSince.has(stamp)) this.#behindSince.set(stamp, -Infinity)
    return true
  }
}
