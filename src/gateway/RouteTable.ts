/**
 * The routes of the network in force, found by host and path: of that host's routes the one whose prefix
 * begins the path and is longest. Prefixes are looked up from the longest cut of the path at a slash to the
 * shortest, so that hundreds of routes cost no more than a few.
 */
import { Network } from '../common/Network.js'
import { digest } from '../common/digest.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'

export class RouteTable {
  readonly #byName = new Map<string, { stamp: number; route: Network['routes'][number] }>()
  readonly #hosts = new Map<string, Map<string, Network['routes'][number]>>()

  adopt(copy: ReplicaTable): void {
    const rows = copy.under('route/')
    const listed = new Set<string>()
    let changed = false
    for (const [name, value] of rows) {
      listed.add(name)
      const stamp = copy.stampOf(`route/${name}`)
      if (this.#byName.get(name)?.stamp === stamp) continue
      const read = Network.Route.safeParse(JSON.parse(value))
      if (!read.success) continue
      this.#byName.set(name, { stamp, route: read.data })
      changed = true
    }
    for (const name of this.#byName.keys()) {
      if (listed.has(name)) continue
      this.#byName.delete(name)
      changed = true
    }
    if (!changed) return
    this.#hosts.clear()
    for (const { route } of this.#byName.values()) {
      const host = route.host.toLowerCase()
      const prefixes = this.#hosts.get(host) ?? new Map<string, Network['routes'][number]>()
      prefixes.set(route.prefix, route)
      this.#hosts.set(host, prefixes)
    }
  }

  find(host: string, path: string): Network['routes'][number] | undefined {
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
  static service(route: Network['routes'][number], id: string): string {
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
