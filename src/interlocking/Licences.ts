/**
 * The leader's account of who holds a licence and which stamp each seat has adopted. It lives in
 * memory only: a new leader knows nothing of what its predecessor granted, so it treats no licence
 * as lost until that predecessor's last one must have run out.
 */
import { strictEqual } from 'node:assert'
import { Pace } from '../gauge/Pace.js'
import { proof } from '../gauge/proof.js'

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

export class Licences {
  readonly #pace: Pace
  readonly #held = new Map<string, Held>()
  #behindSince = new Map<number, number>()
  #graceUntilMs = Infinity

  constructor(pace: Pace) {
    this.#pace = pace
  }

  /** A new leader starts over, and waits until no licence of an earlier one can be alive. */
  begin(nowMs: number): void {
    this.#held.clear()
    this.#behindSince.clear()
    this.#graceUntilMs = nowMs + this.#pace.electionMs + margin * this.#pace.licenceMs
  }

  /** Until then a licence of an earlier leader may be alive. */
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
    const held = this.#held.get(seat)
    return held !== undefined && nowMs - held.heardMs <= margin * this.#pace.licenceMs
  }

  /** Grants a licence, unless the seat has been behind a charter for too long. */
  renew(seat: string, session: string, address: string, zone: string, adopted: number, nowMs: number): boolean {
    const old = this.#held.get(seat)
    let granted = true
    for (const [stamp, sinceMs] of this.#behindSince) if (adopted < stamp && nowMs - sinceMs > this.#pace.adoptMs) granted = false
    this.#held.set(seat, { session, address, zone, adopted, grantedMs: granted ? nowMs : (old?.grantedMs ?? -Infinity), heardMs: nowMs })
    return granted
  }

  /** Forgets seats that are long gone, where they come and go. */
  forget(nowMs: number): void {
    for (const [seat, held] of this.#held) if (nowMs - held.heardMs > forgetAfter * this.#pace.licenceMs) this.#held.delete(seat)
  }

  /** True once every seat whose licence may be alive works by this stamp, or has been waited for long enough. */
  adopted(stamp: number, sinceMs: number, nowMs: number): boolean {
    if (nowMs - sinceMs >= this.#pace.deliverMs) return true
    if (nowMs <= this.#graceUntilMs) return false
    return [...this.#held].every(([seat, held]) => held.adopted >= stamp || this.#surelyLost(seat, nowMs))
  }

  #surelyLost(seat: string, nowMs: number): boolean {
    const held = this.#held.get(seat)
    return nowMs > this.#graceUntilMs && (held === undefined || nowMs - held.grantedMs > margin * this.#pace.licenceMs)
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

proof(import.meta.url, {
  'delivery waits for a majority and for every licence that may still be alive': () => {
    const pace = Pace({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
    const licences = new Licences(pace)
    licences.begin(0)
    const seats = ['a', 'b', 'c']
    const later = 10 * pace.licenceMs
    for (const seat of seats) licences.renew(seat, 's', 'x', 'z', 1, later)
    licences.charterMade(5, later)
    licences.renew('a', 's', 'x', 'z', 5, later + 1)
    strictEqual(licences.delivered(5, seats, later + 2 * pace.licenceMs), false)
    licences.renew('b', 's', 'x', 'z', 5, later + 1)
    strictEqual(licences.delivered(5, seats, later + 2), false)
    strictEqual(licences.renew('c', 's', 'x', 'z', 1, later + pace.adoptMs + 1), false)
    strictEqual(licences.delivered(5, seats, later + 1.2 * pace.licenceMs), true)
  },
  'a seat that forgot an acknowledged charter gets no licence until it has it again': () => {
    const pace = Pace({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
    const licences = new Licences(pace)
    licences.begin(0)
    licences.charterMade(5, 0)
    const later = 10 * pace.licenceMs
    for (const seat of ['a', 'b']) strictEqual(licences.renew(seat, 's', 'x', 'z', 5, later), true)
    strictEqual(licences.delivered(5, ['a', 'b'], later), true)
    strictEqual(licences.renew('a', 'again', 'x', 'z', 4, later + 1), false)
    licences.begin(later)
    licences.charterMade(5, -Infinity)
    strictEqual(licences.renew('a', 'again', 'x', 'z', 4, later + 2), false)
  },
  'a new leader waits for licences it never saw': () => {
    const pace = Pace({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
    const licences = new Licences(pace)
    licences.begin(1000)
    licences.renew('a', 's', 'x', 'z', 5, 1001)
    licences.renew('b', 's', 'x', 'z', 5, 1001)
    strictEqual(licences.delivered(5, ['a', 'b', 'c'], 1000 + pace.electionMs), false)
    strictEqual(licences.delivered(5, ['a', 'b', 'c'], 1002 + pace.electionMs + 1.1 * pace.licenceMs), true)
  },
})
