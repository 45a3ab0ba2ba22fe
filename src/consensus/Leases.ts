/**
 * The leader's account of who holds a lease and which stamp each seat has adopted. It lives in
 * memory only: a new leader knows nothing of what its predecessor granted, so it treats no lease
 * as lost until that predecessor's last one must have run out.
 *
 * A renewal echoes the newest lease of this leader that its session got, and what it says of adoption
 * counts only then: a renewal that was held up on its way can't count for the life that came after it.
 * Sessions of a seat follow one another, so the lease that a later one echoes was granted after all that
 * an earlier one can echo.
 */
import { Timings } from '../common/Timings.js'

interface Echo {
  term: number
  grantedMs: number
}
interface Renewal {
  seat: string
  session: string
  address: string
  zone: string
  adopted: number
  /** By the seat's own clock. */
  sentMs: number
  /** The newest lease that the session got, if it was not long ago. */
  echo: Echo | undefined
}
interface Held {
  /** The session that showed last that it had a lease, and when it sent its newest renewal. */
  session: string
  sentMs: number
  /** When the newest lease was granted that was echoed. */
  echoedMs: number
  /** A session that was heard without an echo, and since when: until an echo of a later lease nothing is credited. */
  unproven: string
  unprovenMs: number
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
  #term = -1
  /** The seat that was last waited for, looked at first the next time. */
  #laggard = ''

  constructor(timings: Timings) {
    this.#timings = timings
  }

  /** A new leader starts over, and waits until no lease of an earlier one can be alive. */
  begin(term: number, nowMs: number): void {
    this.#term = term
    this.#held.clear()
    this.#behindSince.clear()
    this.#graceUntilMs = nowMs + this.#timings.electionMs + margin * this.#timings.leaseMs
  }

  /** The term whose leases are echoed. */
  get term(): number {
    return this.#term
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

  /** The session whose adoption is counted; empty while another one was heard that has not shown a lease. */
  creditedSession(seat: string): string {
    const held = this.#held.get(seat)
    return held?.unproven === '' ? held.session : ''
  }

  alive(seat: string, nowMs: number): boolean {
    return nowMs <= this.aliveUntilMs(seat)
  }

  /** Until when a seat counts as alive if it is not heard again. */
  aliveUntilMs(seat: string): number {
    const held = this.#held.get(seat)
    return held === undefined ? -Infinity : held.heardMs + margin * this.#timings.leaseMs
  }

  /** Grants a lease, unless the seat has been behind a charter for too long, or the renewal is later than its purpose. */
  renew(renewal: Renewal, nowMs: number): 'granted' | 'behind' | 'ignored' {
    const old = this.#held.get(renewal.seat)
    const echoedMs = renewal.echo?.term === this.#term ? renewal.echo.grantedMs : undefined
    if (this.#late(renewal, echoedMs, old, nowMs)) return 'ignored'
    const behind = this.#behind(renewal.adopted, nowMs)
    const { address, zone } = renewal
    const grantedMs = behind ? (old?.grantedMs ?? -Infinity) : nowMs
    this.#held.set(renewal.seat, { ...this.#credit(renewal, echoedMs, old, nowMs), address, zone, grantedMs, heardMs: nowMs })
    return behind ? 'behind' : 'granted'
  }

  #behind(adopted: number, nowMs: number): boolean {
    for (const [stamp, sinceMs] of this.#behindSince) if (adopted < stamp && nowMs - sinceMs > this.#timings.adoptMs) return true
    return false
  }

  /** True of a renewal that was held up, that a later one of its session overtook, or whose session is over. */
  #late(renewal: Renewal, echoedMs: number | undefined, old: Held | undefined, nowMs: number): boolean {
    if (echoedMs !== undefined && (nowMs - echoedMs > this.#timings.leaseMs || echoedMs > nowMs)) return true
    if (old === undefined) return false
    if (renewal.session === old.session) return renewal.sentMs < old.sentMs || (echoedMs !== undefined && echoedMs < old.echoedMs)
    return echoedMs !== undefined && echoedMs <= old.echoedMs
  }

  /** What is known of the seat's sessions and adoption after a renewal that is not late. */
  #credit(
    renewal: Renewal,
    echoedMs: number | undefined,
    old: Held | undefined,
    nowMs: number,
  ): Pick<Held, 'session' | 'sentMs' | 'echoedMs' | 'unproven' | 'unprovenMs' | 'adopted'> {
    const { session, sentMs } = renewal
    const known = old ?? { session: '', sentMs: -Infinity, echoedMs: -Infinity, unproven: '', unprovenMs: -Infinity, adopted: 0 }
    const { unproven, unprovenMs, adopted } = known
    if (echoedMs !== undefined && echoedMs >= unprovenMs)
      return { session, sentMs, echoedMs, unproven: '', unprovenMs: -Infinity, adopted: renewal.adopted }
    if (session === known.session)
      return { session, sentMs, echoedMs: known.echoedMs, unproven, unprovenMs, adopted: Math.min(adopted, renewal.adopted) }
    const since = session === unproven ? unprovenMs : nowMs
    return { session: known.session, sentMs: known.sentMs, echoedMs: known.echoedMs, unproven: session, unprovenMs: since, adopted: 0 }
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
