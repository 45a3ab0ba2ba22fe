/**
 * The configuration in force with indexes by name, by place and by service, so that a change of named items
 * is judged and carried out at a cost of what it names. Its verdicts are those of `Network.patched`, which
 * also words the reasons against a change that is refused.
 */
import { Either, Right } from 'purify-ts'
import { Network } from './Network.js'

type Route = Network['routes'][number]
type Service = Network['services'][number]

/** What a change made: the items that were set, the names of those that are no more, and what stood in the place of both. */
interface ConfigurationChange {
  routes: ItemChange<Route>
  services: ItemChange<Service>
}
interface ItemChange<T> {
  set: readonly T[]
  dropped: readonly string[]
  replaced: readonly T[]
}

export class Configuration {
  readonly #routes: Map<string, Route>
  readonly #services: Map<string, Service>
  /** The name of the route at each host and prefix. */
  readonly #places = new Map<string, string>()
  /** How many routes lead to a service. */
  readonly #uses = new Map<string, number>()
  #revision: number
  #limits: Network['limits']
  readonly #rest: Omit<Network, 'revision' | 'routes' | 'services' | 'limits'>
  #network: Network | undefined

  constructor(network: Network) {
    const { revision, routes, services, limits, ...rest } = network
    this.#revision = revision
    this.#limits = limits
    this.#rest = rest
    this.#routes = new Map(routes.map((route) => [route.name, route]))
    this.#services = new Map(services.map((service) => [service.name, service]))
    for (const route of routes) this.#link(route)
    this.#network = network
  }

  get revision(): number {
    return this.#revision
  }

  /** All but the routes and services. */
  get head(): Omit<Network, 'routes' | 'services'> {
    return { revision: this.#revision, limits: this.#limits, ...this.#rest }
  }

  get network(): Network {
    this.#network ??= {
      revision: this.#revision,
      routes: [...this.#routes.values()],
      services: [...this.#services.values()],
      limits: this.#limits,
      ...this.#rest,
    }
    return this.#network
  }

  /** Carries out a change of named items, or gives every reason against it and stays as it is. What the indexes don't allow the whole check judges. */
  patch(sent: unknown): Either<string[], ConfigurationChange> {
    return Network.readPatch(sent).chain((patch) => {
      const routes = Configuration.#itemChange(this.#routes, patch.set.routes, patch.drop.routes)
      const services = Configuration.#itemChange(this.#services, patch.set.services, patch.drop.services)
      const allowed = patch.revision > this.#revision && this.#allows(routes, services)
      const verdict = allowed ? Right(undefined) : Network.patched(this.network, sent).map(() => undefined)
      return verdict.map(() => {
        this.#carryOut(routes, services)
        this.#revision = patch.revision
        this.#limits = patch.set.limits ?? this.#limits
        this.#network = undefined
        return { routes, services }
      })
    })
  }

  /** Of items named twice the last counts, and an item that is both set and dropped is set. */
  static #itemChange<T extends { name: string }>(old: ReadonlyMap<string, T>, set: readonly T[], drop: readonly string[]): ItemChange<T> {
    const last = new Map(set.map((item) => [item.name, item]))
    const dropped = [...new Set(drop)].filter((name) => old.has(name) && !last.has(name))
    const replaced = [...dropped, ...last.keys()].flatMap((name) => old.get(name) ?? [])
    return { set: [...last.values()], dropped, replaced }
  }

  #allows(routes: ItemChange<Route>, services: ItemChange<Service>): boolean {
    const gone = new Set(services.dropped)
    const added = new Set(services.set.map((service) => service.name))
    const exists = (service: string) => added.has(service) || (this.#services.has(service) && !gone.has(service))
    return routes.set.every((route) => Configuration.#sound(route, exists)) && this.#noneUses(gone, routes) && this.#placesFree(routes)
  }

  static #sound(route: Route, exists: (service: string) => boolean): boolean {
    return Network.routeErrors(route, '', exists).length === 0
  }

  /** True if no route that stays as it is leads to a service that goes. */
  #noneUses(gone: ReadonlySet<string>, routes: ItemChange<Route>): boolean {
    if (gone.size === 0) return true
    const left = new Map([...gone].map((name) => [name, this.#uses.get(name) ?? 0]))
    for (const old of routes.replaced) {
      for (const { service } of old.services) {
        const count = left.get(service)
        if (count !== undefined) left.set(service, count - 1)
      }
    }
    return [...left.values()].every((count) => count === 0)
  }

  #placesFree(routes: ItemChange<Route>): boolean {
    const freed = new Set(routes.replaced.map((route) => Network.place(route)))
    const taken = new Set<string>()
    for (const route of routes.set) {
      const place = Network.place(route)
      if (taken.has(place) || (this.#places.has(place) && !freed.has(place))) return false
      taken.add(place)
    }
    return true
  }

  #carryOut(routes: ItemChange<Route>, services: ItemChange<Service>): void {
    for (const old of routes.replaced) this.#unlink(old)
    for (const name of routes.dropped) this.#routes.delete(name)
    for (const route of routes.set) {
      this.#routes.set(route.name, route)
      this.#link(route)
    }
    for (const name of services.dropped) this.#services.delete(name)
    for (const service of services.set) this.#services.set(service.name, service)
  }

  #link(route: Route): void {
    this.#places.set(Network.place(route), route.name)
    for (const { service } of route.services) this.#uses.set(service, (this.#uses.get(service) ?? 0) + 1)
  }

  #unlink(route: Route): void {
    this.#places.delete(Network.place(route))
    for (const { service } of route.services) {
      const count = (this.#uses.get(service) ?? 0) - 1
      if (count > 0) this.#uses.set(service, count)
      else this.#uses.delete(service)
    }
  }
}
