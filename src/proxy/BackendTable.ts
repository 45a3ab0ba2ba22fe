/**
 * The servers that a proxy knows: how updates of the replicated table change them, which one a request is bound to, how much of a
 * limit this proxy may use, and which prompt parts each is likely to have kept. A server that this proxy has not reached yet
 * counts as cold; the first attempt at it finds out.
 */
import { Random } from '../common/Random.js'
import { Charter } from '../common/Charter.js'
import { Timings } from '../common/Timings.js'
import { PlatformServer } from '../common/PlatformServer.js'
import { Terms } from '../common/Terms.js'
import { BindingRow } from '../consensus/BindingRow.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import { PartsRow } from '../consensus/PartsRow.js'
import type { ShareAsk } from '../consensus/ShareAsk.js'
import { Shares } from '../consensus/Shares.js'
import { Lent } from './Lent.js'
import type { Backend } from './Backend.js'
import type { RequestState } from './RequestState.js'

const keptChains = 4096

export class BackendTable {
  readonly lent = new Lent()
  /** Servers that the platform's own list takes away while the core is out of reach. */
  barred: ReadonlySet<string> = new Set()
  readonly #zone: string
  readonly #timings: Timings
  readonly #random: Random
  readonly #table = new Map<string, Backend>()
  readonly #partsStamps = new Map<string, number>()
  #limits = { cold: 0, serve: 0 }
  #seats = 0

  constructor(zone: string, timings: Timings, random: Random) {
    this.#zone = zone
    this.#timings = timings
    this.#random = random
  }

  get(name: string): Backend | undefined {
    return this.#table.get(name)
  }

  /** Brings the table in line with the copy. */
  adopt(copy: ReplicaTable, charter: Charter | undefined, seat: string, nowMs: number): void {
    const seats = copy.under('seat/').map(([name]) => name)
    this.#seats = seats.includes(seat) ? seats.length : 0
    const { coldLimit = 0, serverLimit = 0 } = charter?.defaults ?? {}
    this.#limits = { cold: Math.min(coldLimit, serverLimit), serve: serverLimit }
    const listed = new Set<string>()
    for (const [name, value] of copy.under('server/')) {
      const server = PlatformServer.parse(JSON.parse(value))
      listed.add(name)
      const backend = this.#table.get(name) ?? this.#fresh(name, server)
      if (backend.address !== server.address) {
        backend.address = server.address
        backend.suspectUntilMs = 0
        backend.defects = 0
      }
      backend.zone = server.zone
      backend.open = !server.draining && charter?.zones[server.zone]?.emptied !== true && charter?.fleet.servers[name] !== undefined
      const binding = copy.get(`binding/${name}`)
      const row = binding === undefined ? undefined : BindingRow.parse(JSON.parse(binding))
      backend.said = row?.incarnation ?? ''
      backend.models = new Set(row?.models)
      backend.adapters = new Set(row?.adapters)
      if (row !== undefined && backend.incarnation !== '' && row.incarnation !== backend.incarnation) this.#forget(backend)
      this.#adoptParts(copy, backend, nowMs)
    }
    for (const [name, backend] of this.#table) {
      if (listed.has(name)) continue
      backend.open = false
      if (backend.flights === 0) this.#table.delete(name)
    }
  }

  #fresh(name: string, server: PlatformServer): Backend {
    const backend: Backend = {
      name,
      address: server.address,
      zone: server.zone,
      open: false,
      said: '',
      models: new Set(),
      adapters: new Set(),
      flights: 0,
      wanting: 0,
      wanted: 0,
      incarnation: '',
      coldUntilMs: Infinity,
      suspectUntilMs: 0,
      defects: 0,
      kept: new Map(),
    }
    this.#table.set(name, backend)
    return backend
  }

  #forget(backend: Backend): void {
    backend.incarnation = ''
    backend.coldUntilMs = Infinity
    backend.kept.clear()
  }

  /** What a report says of kept parts stands, with what was sent after the report can have been made. */
  #adoptParts(copy: ReplicaTable, backend: Backend, nowMs: number): void {
    const key = `parts/${backend.name}`
    const stamp = copy.stampOf(key)
    const value = copy.get(key)
    if (value === undefined || this.#partsStamps.get(backend.name) === stamp) return
    this.#partsStamps.set(backend.name, stamp)
    const row = PartsRow.parse(JSON.parse(value))
    if (row.incarnation !== backend.incarnation) return
    const reported = new Set(row.links)
    for (const [link, sentMs] of backend.kept) {
      if (!reported.has(link) && nowMs - sentMs > this.#timings.reportStaleMs) backend.kept.delete(link)
    }
    for (const link of reported) if (!backend.kept.has(link)) backend.kept.set(link, nowMs - this.#timings.reportStaleMs)
  }

  /** A server said on a connection who it is. */
  met(backend: Backend, incarnation: string, upMs: number, warmMs: number, nowMs: number): void {
    if (backend.incarnation === incarnation && backend.coldUntilMs !== Infinity) return
    if (backend.incarnation !== incarnation) backend.kept.clear()
    backend.incarnation = incarnation
    backend.coldUntilMs = nowMs + Math.max(0, warmMs - upMs)
  }

  suspect(backend: Backend, nowMs: number): void {
    backend.defects += 1
    const waitMs = this.#timings.heartbeatMs * 2 ** Math.min(backend.defects, 4) * (0.5 + this.#random.next())
    backend.suspectUntilMs = nowMs + Math.min(this.#timings.reportStaleMs, waitMs)
  }

  mayUse(backend: Backend, target: RequestState['target'], terms: Terms): boolean {
    if (!backend.open || this.barred.has(backend.name) || terms.servers?.includes(backend.name) === false) return false
    if (target.kind === 'service') return true
    return backend.models.has(target.name) && (target.adapter === '' || backend.adapters.has(`${target.name}/${target.adapter}`))
  }

  /** What a server bears from here: this proxy's even part and what it was lent, within the service's own limit. */
  limit(backend: Backend, terms: Terms, nowMs: number): number {
    const cold = nowMs < backend.coldUntilMs
    const own = cold ? Math.min(terms.limits.coldLimit, terms.limits.serverLimit) : terms.limits.serverLimit
    return Math.min(own, this.#even(cold) + this.lent.of(this.#key(backend, cold), nowMs))
  }

  #even(cold: boolean): number {
    return Shares.even(cold ? this.#limits.cold : this.#limits.serve, this.#seats)
  }

  #key(backend: Backend, cold: boolean): string {
    return cold ? `cold/${backend.name}/${backend.incarnation}` : `serve/${backend.name}`
  }

  /** The server for a request: kept parts against pressure and zone; among equals the emptier of two. */
  choose(target: RequestState['target'], terms: Terms, nowMs: number): Backend | undefined {
    let best: Backend[] = []
    let bestRank = -Infinity
    const full: Backend[] = []
    for (const backend of this.#table.values()) {
      if (!this.mayUse(backend, target, terms) || nowMs < backend.suspectUntilMs) continue
      const limit = this.limit(backend, terms, nowMs)
      const unmet = backend.incarnation === '' && backend.flights === 0
      if (backend.flights >= limit && !unmet) {
        full.push(backend)
        continue
      }
      const kept = target.kind === 'model' ? this.#kept(backend, target.chain) : 0
      const rank = 4 * kept - (4 * backend.flights) / Math.max(1, limit) + (backend.zone === this.#zone ? 0.5 : 0)
      if (rank > bestRank + 1e-9) {
        best = [backend]
        bestRank = rank
      } else if (Math.abs(rank - bestRank) <= 1e-9) best.push(backend)
    }
    if (best.length === 0) for (const backend of full) backend.wanting += 1
    const one = this.#random.pick(best)
    const other = this.#random.pick(best)
    return one !== undefined && other !== undefined && other.flights < one.flights ? other : one
  }

  /** When the first of the servers that may take it is trusted again; nothing when none may. */
  trustedAtMs(target: RequestState['target'], terms: Terms): number | undefined {
    const usable = [...this.#table.values()].filter((one) => this.mayUse(one, target, terms))
    return usable.length === 0 ? undefined : Math.min(...usable.map((one) => one.suspectUntilMs))
  }

  /** Before the waiting requests are bound once more, what they want is counted afresh. */
  recount(): void {
    for (const backend of this.#table.values()) backend.wanting = 0
  }

  /** What this proxy wants and holds of each shared limit beyond its even part; a want falls slowly. */
  asks(nowMs: number): ShareAsk[] {
    const asks: ShareAsk[] = []
    for (const backend of this.#table.values()) {
      if (backend.incarnation === '') continue
      const cold = nowMs < backend.coldUntilMs
      const key = this.#key(backend, cold)
      const over = Math.max(0, backend.flights - this.#even(cold))
      const lent = this.lent.of(key, nowMs)
      const most = cold ? this.#limits.cold : this.#limits.serve
      backend.wanted = Math.min(most, Math.max(over + backend.wanting, Math.floor(backend.wanted * 0.75)))
      if (backend.wanted > 0 || lent > 0) asks.push({ key, want: backend.wanted, held: Math.max(over, lent) })
    }
    return asks
  }

  /** The share of the chain that this server is likely to have kept. */
  #kept(backend: Backend, chain: readonly string[]): number {
    for (let at = chain.length; at > 0; at--) {
      const link = chain[at - 1]
      if (link !== undefined && backend.kept.has(link)) return at / chain.length
    }
    return 0
  }

  remember(backend: Backend, chain: readonly string[], nowMs: number): void {
    for (const link of chain) {
      backend.kept.delete(link)
      backend.kept.set(link, nowMs)
    }
    for (const oldest of backend.kept.keys()) {
      if (backend.kept.size <= keptChains) break
      backend.kept.delete(oldest)
    }
  }
}
