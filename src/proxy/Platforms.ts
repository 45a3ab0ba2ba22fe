/**
 * The proxy's table of servers and the systems over it: what news make of them, which one a request
 * is bound to, how much of a limit they may get from here, and which prompt parts they are likely to
 * have kept. A server that this proxy never met counts as cold, and is met by one attempt.
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
import type { Platform } from './Platform.js'
import type { Traveller } from './Traveller.js'

const keptChains = 4096

export class Platforms {
  readonly lent = new Lent()
  /** Servers that the platform's own list takes away while the core is out of reach. */
  barred: ReadonlySet<string> = new Set()
  readonly #zone: string
  readonly #timings: Timings
  readonly #random: Random
  readonly #table = new Map<string, Platform>()
  readonly #partsStamps = new Map<string, number>()
  #limits = { cold: 0, serve: 0 }
  #seats = 0

  constructor(zone: string, timings: Timings, random: Random) {
    this.#zone = zone
    this.#timings = timings
    this.#random = random
  }

  get(name: string): Platform | undefined {
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
      const platform = this.#table.get(name) ?? this.#fresh(name, server)
      if (platform.address !== server.address) {
        platform.address = server.address
        platform.suspectUntilMs = 0
        platform.defects = 0
      }
      platform.zone = server.zone
      platform.open = !server.draining && charter?.zones[server.zone]?.emptied !== true && charter?.fleet.servers[name] !== undefined
      const binding = copy.get(`binding/${name}`)
      const row = binding === undefined ? undefined : BindingRow.parse(JSON.parse(binding))
      platform.said = row?.incarnation ?? ''
      platform.models = new Set(row?.models)
      platform.adapters = new Set(row?.adapters)
      if (row !== undefined && platform.incarnation !== '' && row.incarnation !== platform.incarnation) this.#forget(platform)
      this.#adoptParts(copy, platform, nowMs)
    }
    for (const [name, platform] of this.#table) {
      if (listed.has(name)) continue
      platform.open = false
      if (platform.flights === 0) this.#table.delete(name)
    }
  }

  #fresh(name: string, server: PlatformServer): Platform {
    const platform: Platform = {
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
    this.#table.set(name, platform)
    return platform
  }

  #forget(platform: Platform): void {
    platform.incarnation = ''
    platform.coldUntilMs = Infinity
    platform.kept.clear()
  }

  /** What a report says of kept parts stands, with what was sent after the report can have been made. */
  #adoptParts(copy: ReplicaTable, platform: Platform, nowMs: number): void {
    const key = `parts/${platform.name}`
    const stamp = copy.stampOf(key)
    const value = copy.get(key)
    if (value === undefined || this.#partsStamps.get(platform.name) === stamp) return
    this.#partsStamps.set(platform.name, stamp)
    const row = PartsRow.parse(JSON.parse(value))
    if (row.incarnation !== platform.incarnation) return
    const reported = new Set(row.links)
    for (const [link, sentMs] of platform.kept) {
      if (!reported.has(link) && nowMs - sentMs > this.#timings.reportStaleMs) platform.kept.delete(link)
    }
    for (const link of reported) if (!platform.kept.has(link)) platform.kept.set(link, nowMs - this.#timings.reportStaleMs)
  }

  /** A server said on a connection who it is. */
  met(platform: Platform, incarnation: string, upMs: number, warmMs: number, nowMs: number): void {
    if (platform.incarnation === incarnation && platform.coldUntilMs !== Infinity) return
    if (platform.incarnation !== incarnation) platform.kept.clear()
    platform.incarnation = incarnation
    platform.coldUntilMs = nowMs + Math.max(0, warmMs - upMs)
  }

  suspect(platform: Platform, nowMs: number): void {
    platform.defects += 1
    const waitMs = this.#timings.heartbeatMs * 2 ** Math.min(platform.defects, 4) * (0.5 + this.#random.next())
    platform.suspectUntilMs = nowMs + Math.min(this.#timings.reportStaleMs, waitMs)
  }

  mayUse(platform: Platform, target: Traveller['target'], terms: Terms): boolean {
    if (!platform.open || this.barred.has(platform.name) || terms.servers?.includes(platform.name) === false) return false
    if (target.kind === 'service') return true
    return platform.models.has(target.name) && (target.adapter === '' || platform.adapters.has(`${target.name}/${target.adapter}`))
  }

  /** What a server bears from here: this proxy's even part and what it was lent, within the service's own limit. */
  limit(platform: Platform, terms: Terms, nowMs: number): number {
    const cold = nowMs < platform.coldUntilMs
    const own = cold ? Math.min(terms.limits.coldLimit, terms.limits.serverLimit) : terms.limits.serverLimit
    return Math.min(own, this.#even(cold) + this.lent.of(this.#key(platform, cold), nowMs))
  }

  #even(cold: boolean): number {
    return Shares.even(cold ? this.#limits.cold : this.#limits.serve, this.#seats)
  }

  #key(platform: Platform, cold: boolean): string {
    return cold ? `cold/${platform.name}/${platform.incarnation}` : `serve/${platform.name}`
  }

  /** The server for a request: kept parts against pressure and zone; among equals the emptier of two. */
  choose(target: Traveller['target'], terms: Terms, nowMs: number): Platform | undefined {
    let best: Platform[] = []
    let bestRank = -Infinity
    const full: Platform[] = []
    for (const platform of this.#table.values()) {
      if (!this.mayUse(platform, target, terms) || nowMs < platform.suspectUntilMs) continue
      const limit = this.limit(platform, terms, nowMs)
      const unmet = platform.incarnation === '' && platform.flights === 0
      if (platform.flights >= limit && !unmet) {
        full.push(platform)
        continue
      }
      const kept = target.kind === 'model' ? this.#kept(platform, target.chain) : 0
      const rank = 4 * kept - (4 * platform.flights) / Math.max(1, limit) + (platform.zone === this.#zone ? 0.5 : 0)
      if (rank > bestRank + 1e-9) {
        best = [platform]
        bestRank = rank
      } else if (Math.abs(rank - bestRank) <= 1e-9) best.push(platform)
    }
    if (best.length === 0) for (const platform of full) platform.wanting += 1
    const one = this.#random.pick(best)
    const other = this.#random.pick(best)
    return one !== undefined && other !== undefined && other.flights < one.flights ? other : one
  }

  /** When the first of the servers that may take it is trusted again; nothing when none may. */
  trustedAtMs(target: Traveller['target'], terms: Terms): number | undefined {
    const usable = [...this.#table.values()].filter((one) => this.mayUse(one, target, terms))
    return usable.length === 0 ? undefined : Math.min(...usable.map((one) => one.suspectUntilMs))
  }

  /** Before the waiting requests are bound once more, what they want is counted afresh. */
  recount(): void {
    for (const platform of this.#table.values()) platform.wanting = 0
  }

  /** What this proxy wants and holds of each shared limit beyond its even part; a want falls slowly. */
  asks(nowMs: number): ShareAsk[] {
    const asks: ShareAsk[] = []
    for (const platform of this.#table.values()) {
      if (platform.incarnation === '') continue
      const cold = nowMs < platform.coldUntilMs
      const key = this.#key(platform, cold)
      const over = Math.max(0, platform.flights - this.#even(cold))
      const lent = this.lent.of(key, nowMs)
      const most = cold ? this.#limits.cold : this.#limits.serve
      platform.wanted = Math.min(most, Math.max(over + platform.wanting, Math.floor(platform.wanted * 0.75)))
      if (platform.wanted > 0 || lent > 0) asks.push({ key, want: platform.wanted, held: Math.max(over, lent) })
    }
    return asks
  }

  /** The share of the chain that this server is likely to have kept. */
  #kept(platform: Platform, chain: readonly string[]): number {
    for (let at = chain.length; at > 0; at--) {
      const link = chain[at - 1]
      if (link !== undefined && platform.kept.has(link)) return at / chain.length
    }
    return 0
  }

  remember(platform: Platform, chain: readonly string[], nowMs: number): void {
    for (const link of chain) {
      platform.kept.delete(link)
      platform.kept.set(link, nowMs)
    }
    for (const oldest of platform.kept.keys()) {
      if (platform.kept.size <= keptChains) break
      platform.kept.delete(oldest)
    }
  }
}
