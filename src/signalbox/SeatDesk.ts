/**
 * The leader's side of the seats: their licences, and what rides on a renewal: shares of limits, and
 * tokens for further tries. The pools follow the charter in force.
 */
import { Pace } from '../gauge/Pace.js'
import { digest } from '../gauge/digest.js'
import { CharterReader } from '../interlocking/CharterReader.js'
import { Copy } from '../interlocking/Copy.js'
import { Licences } from '../interlocking/Licences.js'
import { Retries } from '../interlocking/Retries.js'
import { Shares } from '../interlocking/Shares.js'
import type { Message } from '../telegraph/Message.js'

type Renew = Extract<Message, { kind: 'renew' }>
type Licence = Extract<Message, { kind: 'licence' }>

export class SeatDesk {
  readonly licences: Licences
  readonly #pace: Pace
  readonly #shares: Shares
  readonly #retries: Retries
  readonly #reader = new CharterReader()
  #seats = 0

  constructor(pace: Pace) {
    this.#pace = pace
    this.licences = new Licences(pace)
    this.#shares = new Shares(pace.licenceMs)
    this.#retries = new Retries(pace.retryWindowMs)
  }

  begin(term: number, nowMs: number): void {
    this.licences.begin(nowMs)
    this.#shares.begin(term, this.licences.graceUntilMs)
    this.#retries.begin()
  }

  /** The licence for a renewal; a seat that may not have one is lent nothing. */
  renew(renew: Renew, fromAddress: string, copy: Copy, platformAgeMs: number, nowMs: number, loads: Licence['loads'] = []): Licence {
    this.#reader.follow(copy)
    this.#seats = copy.under('seat/').length
    const granted = this.licences.renew(renew.seat, renew.session, fromAddress, renew.zone, renew.adopted, nowMs)
    const alive = this.licences.seats
      .filter(([seat]) => this.licences.alive(seat, nowMs))
      .map(([name, held]) => ({ name, address: held.address, role: 'lineman' as const, zone: held.zone }))
      .sort((a, b) => (a.name < b.name ? -1 : 1))
    const peersSum = digest(JSON.stringify(alive))
    const peers = peersSum === renew.peersSum ? [] : alive
    const licence = {
      kind: 'licence' as const,
      sentMs: renew.sentMs,
      stamp: copy.stamp,
      peers,
      platformAgeMs,
      system: copy.get('system') ?? '',
      peersSum,
      loads,
    }
    if (!granted) return { ...licence, forMs: 0, serial: 0, shares: [], again: [] }
    for (const { key, count } of renew.firsts) {
      const limits = this.#reader.terms.get(key)?.limits
      if (limits !== undefined) this.#retries.earn(key, count, limits.retryRatio, limits.retryAllowance, nowMs)
    }
    const again = renew.again.filter(({ id, key }) => {
      const limits = this.#reader.terms.get(key)?.limits
      return limits !== undefined && this.#retries.give(id, key, limits.retryAllowance, nowMs)
    })
    const lent = this.#shares.renew(renew.seat, renew.asks, renew.echo, (key) => this.#pool(key), nowMs)
    return { ...licence, forMs: this.#pace.licenceMs, ...lent, again: again.map((one) => one.id) }
  }

  /** Shared limits that are lent out while some seat wants more. */
  get exhausted(): string[] {
    return this.#shares.exhausted((key) => this.#pool(key))
  }

  /** What of a limit is there to lend: what the even parts leave. */
  #pool(key: string): number {
    const [kind, server = ''] = key.split('/')
    if (this.#reader.charter?.fleet.servers[server] === undefined) return 0
    const { coldLimit, serverLimit } = this.#reader.charter.defaults
    const limit = kind === 'cold' ? Math.min(coldLimit, serverLimit) : serverLimit
    return limit - this.#seats * Shares.even(limit, this.#seats)
  }
}
