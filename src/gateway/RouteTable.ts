/**
 * The routes of the network in force, found by host and path: of that host's routes the one whose prefix
 * begins the path and is longest. Prefixes are looked up from the longest cut of the path at a slash to the
 * shortest, so that hundreds of routes cost no more than a few.
 */
import { Network } from '../common/Network.js'
import { digest } from '../common/digest.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { Row } from '../consensus/Row.js'
import { namesUnder } from '../consensus/namesUnder.js'

type Route = Network['routes'][number]
const prefix = 'route/'

export class RouteTable {
  readonly #byName = new Map<string, Route>()
  readonly #hosts = new Map<string, Map<string, Route>>()

  /** Takes over the rows that changed, or the whole copy. */
  adopt(copy: ReplicaTable, changed?: readonly Row[]): void {
    const names = changed === undefined ? this.#allNames(copy) : namesUnder(changed, prefix)
    if (names.length === 0) return
    const read = names.map((name) => ({ name, route: RouteTable.#read(copy, name) }))
    for (const { name, route } of read) if (route !== 'unreadable') this.#remove(name)
    for (const { name, route } of read) if (route !== undefined && route !== 'unreadable') this.#add(name, route)
  }

  #allNames(copy: ReplicaTable): string[] {
    return [...new Set([...copy.under(prefix).map(([name]) => name), ...this.#byName.keys()])]
  }

  static #read(copy: ReplicaTable, name: string): Route | 'unreadable' | undefined {
    const value = copy.get(prefix + name)
    if (value === undefined) return undefined
    const read = Network.Route.safeParse(JSON.parse(value))
    return read.success ? read.data : 'unreadable'
  }

  #remove(name: string): void {
    const old = this.#byName.get(name)
    if (old === undefined) return
    this.#byName.delete(name)
    const host = old.host.toLowerCase()
    const prefixes = this.#hosts.get(host)
    if (prefixes?.get(old.prefix) === old) prefixes.delete(old.prefix)
    if (prefixes?.size === 0) this.#hosts.delete(host)
  }

  #add(name: string, route: Route): void {
    this.#byName.set(name, route)
    const host = route.host.toLowerCase()
    const prefixes = this.#hosts.get(host) ?? new Map<string, Route>()
    prefixes.set(route.prefix, route)
    this.#hosts.set(host, prefixes)
  }

  has(name: string): boolean {
    return this.#byName.has(name)
  }

  find(host: string, path: string): Route | undefined {
    const prefixes = this.#hosts.get(host.toLowerCase()) ?? this.#hosts.get(host.toLowerCase().replace(/:\d+$/, ''))
    if (prefixes === undefined) return undefined
    const query = path.indexOf('?')
    const bare = query < 0 ? path : path.slice(0, query)
    for (let cut = bare.lastIndexOf('/'); cut >= 0; cut = cut === 0 ? -1 : bare.lastIndexOf('/', cut - 1)) {
      const route = prefixes.get(bare.slice(0, cut + 1))
      if (route !== undefined) return route
    }
    return undefined
  }

  /** The service of a request: the split weighed by a digest of the request's id. */
  static service(route: Route, id: string): string {
    const [only] = route.services
    if (only !== undefined && route.services.length === 1) return only.service
    const sum = route.services.reduce((all, one) => all + one.weight, 0)
    let point = ((digest(id, 7) % 1_000_003) / 1_000_003) * sum
    for (const one of route.services) {
      point -= one.weight
      if (point < 0) return one.service
    }
    return route.services.findLast((one) => one.weight > 0)?.service ?? ''
  }
}
