/**
 * The gateway's table of servers and the systems over it: what the shared table makes of them, and which
 * one a request goes to. Among those that may take it the one with the least expected time until its first
 * token is chosen: what of the prompt is not kept there, what runs there, how it answered of late, and the
 * way to its zone. All gateways rank the servers for a chain of prompt parts alike, by a digest, so that a
 * chain comes back to where it is kept without a word between them.
 */
import type { Random } from '../common/Random.js'
import { digest } from '../common/digest.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { Network } from '../common/Network.js'
import { PlatformServer } from '../common/PlatformServer.js'
import { BindingRow } from '../consensus/BindingRow.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { Row } from '../consensus/Row.js'
import { namesUnder } from '../consensus/namesUnder.js'
import type { DelayCause } from './DelayCause.js'
import type { Passage } from './Passage.js'
import { RetryPolicy } from './RetryPolicy.js'
import type { Server } from './Server.js'

type Service = Network['services'][number]
interface Plan {
  name: string
  zone: string
  /** How long a server that failed is left alone at most. */
  suspectMs: number
  /** How long the servers of a zone that was filled again count as cold at least. */
  refillMs: number
}
const keptChains = 2048
/** Estimates to begin with; what is measured of a server's first bytes corrects them. */
const tokensPerMs = 30
const crossZoneMs = 4
const perFlightMs = 2.5
const keptMs = 20_000
/** Over all gateways no more is sent to a server than it runs at once and a few behind. */
const fullRatio = 1.25
/** A server that runs more than this part of what it can at once counts as crowded, for the figures. */
const crowdedRatio = 0.3

export class ServerTable {
  /** Servers that the platform's own list takes away while the core is out of reach. */
  barred: ReadonlySet<string> = new Set()
  members: readonly string[] = []
  readonly #plan: Plan
  readonly #mechanisms: Mechanisms
  readonly #random: Random
  readonly #table = new Map<string, Server>()
  readonly #byService = new Map<string, Server[]>()
  readonly #services = new Map<string, { stamp: number; service: Service }>()
  /** Servers that are no longer listed, kept while requests of this gateway run there. */
  readonly #leaving = new Set<Server>()
  #emptied = new Set<string>()
  readonly #refilledMs = new Map<string, number>()

  constructor(plan: Plan, random: Random, mechanisms = Mechanisms.all) {
    this.#plan = plan
    this.#mechanisms = mechanisms
    this.#random = random
  }

  get all(): Iterable<Server> {
    return this.#table.values()
  }

  get(name: string): Server | undefined {
    return this.#table.get(name)
  }

  service(name: string): Service | undefined {
    return this.#services.get(name)?.service
  }

  /** Takes over the rows that changed, or the whole copy. */
  adopt(copy: ReplicaTable, nowMs: number, changed?: readonly Row[]): void {
    const names = (prefix: string, known: Iterable<string>) =>
      changed === undefined ? [...new Set([...copy.under(prefix).map(([name]) => name), ...known])] : namesUnder(changed, prefix)
    for (const name of names('service/', this.#services.keys())) this.#adoptService(copy, name)
    if (names('zone/', this.#emptied).length > 0) this.#adoptZones(copy, nowMs)
    for (const name of names('server/', this.#table.keys())) this.#adoptServer(copy, name, nowMs)
    if (changed !== undefined) for (const name of namesUnder(changed, 'binding/')) this.#adoptBinding(copy, name)
    for (const server of this.#leaving) this.#forgetIdle(server)
  }

  #adoptService(copy: ReplicaTable, name: string): void {
    const value = copy.get(`service/${name}`)
    if (value === undefined) {
      this.#services.delete(name)
      return
    }
    const stamp = copy.stampOf(`service/${name}`)
    if (this.#services.get(name)?.stamp === stamp) return
    const read = Network.Service.safeParse(JSON.parse(value))
    if (read.success) this.#services.set(name, { stamp, service: read.data })
  }

  #adoptZones(copy: ReplicaTable, nowMs: number): void {
    const emptied = new Set(copy.under('zone/').map(([zone]) => zone))
    for (const zone of this.#emptied) if (!emptied.has(zone)) this.#refilledMs.set(zone, nowMs)
    this.#emptied = emptied
  }

  #adoptServer(copy: ReplicaTable, name: string, nowMs: number): void {
    const value = copy.get(`server/${name}`)
    const row = value === undefined ? undefined : PlatformServer.safeParse(JSON.parse(value)).data
    const old = this.#table.get(name)
    if (row === undefined) {
      if (old === undefined) return
      this.#ungroup(old)
      old.draining = true
      this.#leaving.add(old)
      return
    }
    const server = old ?? this.#fresh(name, nowMs)
    const service = row.service ?? ''
    this.#leaving.delete(server)
    if (server.service !== service) this.#ungroup(server)
    server.address = row.address
    server.zone = row.zone
    server.service = service
    server.capacity = Math.max(1, row.capacity ?? 1)
    server.draining = row.draining
    server.cold = row.cold === true
    this.#group(server)
    this.#adoptBinding(copy, name)
  }

  #adoptBinding(copy: ReplicaTable, name: string): void {
    const server = this.#table.get(name)
    if (server === undefined || this.#leaving.has(server)) return
    const binding = copy.get(`binding/${name}`)
    const held = binding === undefined ? undefined : BindingRow.safeParse(JSON.parse(binding)).data
    server.models = new Set(held?.models)
    server.adapters = new Set(held?.adapters)
  }

  /** Puts a server among those of its service, which stand in the order of their names. */
  #group(server: Server): void {
    const group = this.#byService.get(server.service)
    if (group === undefined) {
      this.#byService.set(server.service, [server])
      return
    }
    const at = ServerTable.#position(group, server.name)
    if (group[at] !== server) group.splice(at, 0, server)
  }

  #ungroup(server: Server): void {
    const group = this.#byService.get(server.service)
    if (group === undefined) return
    const at = ServerTable.#position(group, server.name)
    if (group[at] === server) group.splice(at, 1)
    if (group.length === 0) this.#byService.delete(server.service)
  }

  static #position(group: readonly Server[], name: string): number {
    let low = 0
    let high = group.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((group[middle]?.name ?? '') < name) low = middle + 1
      else high = middle
    }
    return low
  }

  /** A server that is no longer listed is forgotten once nothing runs there. */
  #forgetIdle(server: Server): void {
    if (server.flights > 0) return
    this.#leaving.delete(server)
    this.#table.delete(server.name)
  }

  #fresh(name: string, nowMs: number): Server {
    const server: Server = {
      name,
      address: '',
      zone: '',
      service: '',
      capacity: 1,
      draining: false,
      cold: false,
      models: new Set(),
      adapters: new Set(),
      flights: 0,
      toldFlights: 0,
      others: 0,
      firstByteMs: 0,
      heardMs: nowMs,
      suspectUntilMs: 0,
      defects: 0,
      coldTokens: 0,
      coldAtMs: nowMs,
      kept: new Map(),
    }
    this.#table.set(name, server)
    return server
  }

  /** What all gateways together have at each server, this one's own last word taken off. */
  told(loads: readonly { key: string; count: number }[]): void {
    if (!this.#mechanisms.has('shared-loads')) return
    const counts = new Map(loads.map((one) => [one.key, one.count]))
    for (const server of this.#table.values()) server.others = Math.max(0, (counts.get(server.name) ?? 0) - server.toldFlights)
  }

  suspect(server: Server, nowMs: number): void {
    if (!this.#mechanisms.has('suspects')) return
    server.defects += 1
    const waitMs = (this.#plan.suspectMs / 8) * 2 ** Math.min(server.defects - 1, 3) * (0.75 + 0.5 * this.#random.next())
    server.suspectUntilMs = nowMs + waitMs
  }

  trust(server: Server, firstByteMs: number): void {
    server.defects = 0
    server.suspectUntilMs = 0
    if (!this.#mechanisms.has('latency-estimate')) return
    server.firstByteMs += 0.15 * (firstByteMs - server.firstByteMs)
  }

  /** True of a server to which the request may go at all, by the service, the drains and the zones in force. */
  open(server: Server): boolean {
    return !server.draining && !this.#emptied.has(server.zone) && !this.barred.has(server.name)
  }

  holds(server: Server, passage: Passage): boolean {
    if (passage.model === '') return true
    return server.models.has(passage.model) && (passage.adapter === '' || server.adapters.has(`${passage.model}/${passage.adapter}`))
  }

  /** Open servers of the request's service that hold what it needs, whether they have room or not. */
  holders(passage: Passage): Server[] {
    return (this.#byService.get(passage.service) ?? []).filter((server) => this.open(server) && this.holds(server, passage))
  }

  openServers(service: string): number {
    return (this.#byService.get(service) ?? []).filter((server) => this.open(server)).length
  }

  /** What this gateway lets run at a server at once: its part of the places and of the queue behind them. */
  limit(server: Server): number {
    const members = Math.max(1, this.members.length)
    return Math.max(2, Math.ceil((2.5 * server.capacity) / members) + 1)
  }

  connections(server: Server): number {
    const most = this.#services.get(server.service)?.service.connections ?? 64
    return Math.max(1, Math.floor((0.85 * most) / Math.max(1, this.members.length)))
  }

  choose(passage: Passage, nowMs: number): Server | undefined {
    let best: Server | undefined
    let bestMs = Infinity
    const group = this.#byService.get(passage.service) ?? []
    const home = this.#home(passage, group)
    const onlyTried = RetryPolicy.mayOnlyReturn(passage)
    for (const server of group) {
      if (!this.open(server) || !this.holds(server, passage) || passage.avoid.has(server.name)) continue
      if (onlyTried && !passage.tried.has(server.name)) continue
      if (nowMs < server.suspectUntilMs || server.flights >= Math.min(this.limit(server), this.connections(server))) continue
      if (server.flights + server.others >= fullRatio * server.capacity && server.flights > 0) continue
      if (this.#isCold(server, nowMs) && !this.#coldToken(server, nowMs)) continue
      const costMs = this.#expectedMs(server, passage, home, nowMs) * (0.97 + 0.06 * this.#random.next())
      if (costMs < bestMs) {
        best = server
        bestMs = costMs
      }
    }
    if (best !== undefined && this.#isCold(best, nowMs)) best.coldTokens -= 1
    return best
  }

  /** Why no server takes the request now. */
  hindrance(passage: Passage, nowMs: number): DelayCause {
    const holders = this.holders(passage)
    if (holders.length === 0) {
      const holdsModel = (server: Server) => this.open(server) && server.models.has(passage.model)
      const group = this.#byService.get(passage.service) ?? []
      if (passage.model === '') return 'no_place'
      return passage.adapter !== '' && group.some(holdsModel) ? 'adapter_absent' : 'model_absent'
    }
    const trusted = holders.filter((server) => nowMs >= server.suspectUntilMs && !passage.avoid.has(server.name))
    if (trusted.length === 0) return 'suspect_server'
    return trusted.every((server) => this.#isCold(server, nowMs)) ? 'cold_server' : 'no_place'
  }

  /** What the time at a server is put down to that the request is sent to now. */
  delayAt(server: Server, passage: Passage, nowMs: number): DelayCause {
    if (this.#isCold(server, nowMs)) return 'cold_server'
    const loads = this.holders(passage).map((one) => this.#running(one))
    const least = Math.min(...loads)
    return this.#running(server) > Math.max(crowdedRatio * server.capacity, 2 * least) ? 'crowded_copy' : 'server_time'
  }

  /** Requests at a server over all gateways, as far as is known here. */
  #running(server: Server): number {
    return Math.max(server.flights + server.others, server.flights * Math.sqrt(Math.max(1, this.members.length)))
  }

  #expectedMs(server: Server, passage: Passage, home: Server | undefined, nowMs: number): number {
    const members = Math.max(1, this.members.length)
    let costMs = server.firstByteMs + (server.zone === this.#plan.zone || !this.#mechanisms.has('zone-affinity') ? 0 : crossZoneMs)
    if (passage.model === '') return costMs + ((server.flights * members) / server.capacity) * Math.max(20, server.firstByteMs)
    costMs += perFlightMs * this.#running(server)
    let unkept = passage.arrival.promptTokens
    if (!this.#mechanisms.has('prefix-affinity')) return costMs + unkept / tokensPerMs
    let chain = passage.model + passage.adapter
    const { parts } = passage.arrival
    for (const [at, part] of parts.entries()) {
      chain = `${chain},${part.id}`
      const sentMs = server.kept.get(chain)
      if (sentMs === undefined || nowMs - sentMs > keptMs) {
        if (home !== server || (at > 0 && at === parts.length - 1)) break
        unkept -= 0.8 * part.tokens
      } else unkept -= part.tokens
    }
    return costMs + Math.max(0, unkept) / tokensPerMs
  }

  /** The server that every gateway ranks first for the longest chain that others may share: all parts but the request's own last. */
  #home(passage: Passage, group: readonly Server[]): Server | undefined {
    const { parts } = passage.arrival
    if (passage.model === '' || parts.length === 0) return undefined
    const shared = parts.length > 1 ? parts.slice(0, -1) : parts
    const chain = passage.model + passage.adapter + shared.map((part) => part.id).join(',')
    let home: Server | undefined
    let most = -1
    for (const server of group) {
      if (!this.open(server) || !this.holds(server, passage)) continue
      const rank = digest(chain + server.name, 3)
      if (rank > most) {
        home = server
        most = rank
      }
    }
    return home
  }

  remember(server: Server, passage: Passage, nowMs: number): void {
    if (passage.model === '') return
    let chain = passage.model + passage.adapter
    for (const part of passage.arrival.parts) {
      chain = `${chain},${part.id}`
      server.kept.delete(chain)
      server.kept.set(chain, nowMs)
    }
    for (const oldest of server.kept.keys()) {
      if (server.kept.size <= keptChains) break
      server.kept.delete(oldest)
    }
  }

  #isCold(server: Server, nowMs: number): boolean {
    const service = this.#services.get(server.service)?.service
    if (service === undefined || service.coldPerS <= 0) return false
    return server.cold || nowMs - (this.#refilledMs.get(server.zone) ?? -Infinity) < Math.max(this.#plan.refillMs, service.warmMs)
  }

  /** A cold server's few requests a second are dealt to as many gateways as there are half of them, by rank. */
  #coldToken(server: Server, nowMs: number): boolean {
    const perS = 0.6 * (this.#services.get(server.service)?.service.coldPerS ?? 0)
    const members = Math.max(1, this.members.length)
    const among = Math.max(1, Math.min(members, Math.floor(perS / 2)))
    if (members > among) {
      const own = digest(this.#plan.name + server.name)
      if (this.members.filter((one) => digest(one + server.name) < own).length >= among) return false
    }
    const refill = ((nowMs - server.coldAtMs) * perS) / among / 1000
    server.coldTokens = Math.min(1, server.coldTokens + refill)
    server.coldAtMs = nowMs
    return server.coldTokens >= 1
  }
}
