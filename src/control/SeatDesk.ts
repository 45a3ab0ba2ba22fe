/**
 * The leader's side of the seats: their leases, and what rides on a renewal: shares of limits, and
 * tokens for further tries. The pools follow the charter in force.
 */
import { Timings } from '../common/Timings.js'
import { CharterReader } from '../consensus/CharterReader.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { Leases } from '../consensus/Leases.js'
import { Retries } from '../consensus/Retries.js'
import { Shares } from '../consensus/Shares.js'
import type { Message } from '../transport/Message.js'
import { AliveNodes } from './AliveNodes.js'

type Renew = Extract<Message, { kind: 'renew' }>
type Lease = Extract<Message, { kind: 'lease' }>

export class SeatDesk {
  readonly leases: Leases
  readonly #timings: Timings
  readonly #alive: AliveNodes
  readonly #shares: Shares
  readonly #retries: Retries
  readonly #reader = new CharterReader()
  #seats = 0

  constructor(timings: Timings) {
    this.#timings = timings
    this.leases = new Leases(timings)
    this.#alive = new AliveNodes(this.leases)
    this.#shares = new Shares(timings.leaseMs)
    this.#retries = new Retries(timings.retryWindowMs)
  }

  begin(term: number, nowMs: number): void {
    this.leases.begin(term, nowMs)
    this.#alive.clear()
    this.#shares.begin(term, this.leases.graceUntilMs)
    this.#retries.begin()
  }

  /** The lease for a renewal, if it is not too late to answer; a seat that may not have one is lent nothing. */
  renew(
    renew: Renew,
    fromAddress: string,
    copy: ReplicaTable,
    platformAgeMs: number,
    nowMs: number,
    loads: Lease['loads'] = [],
  ): Lease | undefined {
    this.#reader.follow(copy)
    this.#seats = copy.under('seat/').length
    const { seat, session, zone, adopted, sentMs, leaseTerm: term, leaseGrantedMs: grantedMs } = renew
    const echo = term === undefined || grantedMs === undefined ? undefined : { term, grantedMs }
    const outcome = this.leases.renew({ seat, session, address: fromAddress, zone, adopted, sentMs, echo }, nowMs)
    if (outcome === 'ignored') return undefined
    this.#alive.heard(renew.seat, fromAddress, renew.zone)
    const { nodes, sum: peersSum } = this.#alive.list(nowMs)
    const peers = peersSum === renew.peersSum ? [] : [...nodes]
    const lease = {
      kind: 'lease' as const,
      sentMs: renew.sentMs,
      stamp: copy.stamp,
      peers,
      platformAgeMs,
      system: copy.get('system') ?? '',
      peersSum,
      loads,
      session,
      term: this.leases.term,
      grantedMs: nowMs,
    }
    if (outcome === 'behind') return { ...lease, forMs: 0, serial: 0, shares: [], again: [] }
    for (const { key, count } of renew.firsts) {
      const limits = this.#reader.terms.get(key)?.limits
      if (limits !== undefined) this.#retries.earn(key, count, limits.retryRatio, limits.retryAllowance, nowMs)
    }
    const again = renew.again.filter(({ id, key }) => {
      const limits = this.#reader.terms.get(key)?.limits
      return limits !== undefined && this.#retries.give(id, key, limits.retryAllowance, nowMs)
    })
    const lent = this.#shares.renew(renew.seat, renew.asks, renew.echo, (key) => this.#pool(key), nowMs)
    return { ...lease, forMs: this.#timings.leaseMs, ...lent, again: again.map((one) => one.id) }
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
