/**
 * The network: the routes that callers may take, the services behind them and the limits on callers, under
 * one revision that operators choose and that only rises. A service with `batch` is one of model servers:
 * its models, what a server has room for, and the pace of the store of weights. `more` carries what an
 * external format says beyond this, so that a network reads back as it was sent.
 */
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'

const More = z.record(z.string(), z.json()).optional()
const Route = z.strictObject({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  /** `once`: at most one run a try; `stream`: as `once` unless `resumable`, and answered by events. */
  kind: z.enum(['repeatable', 'once', 'stream']),
  timeoutMs: z.number(),
  aimMs: z.number().optional(),
  /** The longest pause between events with which a stream is in time. */
  gapMs: z.number().optional(),
  /** Callers leave a stream that has been silent for so long, also before its first event. */
  silenceMs: z.number().optional(),
  /** 0 is the most urgent. */
  urgency: z.number().default(5),
  /** The greatest number of servers that one request may be sent to. */
  attempts: z.number().default(1),
  sticky: z.boolean().default(false),
  resumable: z.boolean().default(false),
  services: z.array(z.strictObject({ service: z.string(), weight: z.number() })),
  more: More,
})
const Model = z.strictObject({
  name: z.string(),
  sizeMb: z.number(),
  loadMs: z.number(),
  adapters: z.array(z.string()),
  adapterMb: z.number(),
  more: More,
})
const Batch = z.strictObject({
  /** Requests that a server runs at once, and the tokens that its memory holds for them. */
  capacity: z.number(),
  cacheTokens: z.number(),
  roomMb: z.number(),
  adapterPlaces: z.number(),
  /** Loads that the store of weights allows a second over all servers. */
  loadsPerS: z.number(),
  models: z.array(Model),
  more: More,
})
const Service = z.strictObject({
  name: z.string(),
  healthPath: z.string().optional(),
  /** Connections that one server takes from all callers together. */
  connections: z.number(),
  /** How long a server stays cold, and the requests a second that it bears meanwhile; 0 for no limit. */
  warmMs: z.number().default(0),
  coldPerS: z.number().default(0),
  batch: Batch.optional(),
  more: More,
})
const Limits = z.strictObject({
  headerBytes: z.number(),
  bodyBytes: z.number(),
  headerMs: z.number(),
  idleMs: z.number(),
  more: More,
})
const schema = z.strictObject({
  revision: z.number().int().positive(),
  routes: z.array(Route),
  services: z.array(Service),
  limits: Limits,
  more: More,
})
const Numbered = z.object({ revision: z.number() })
const Patch = z.strictObject({
  revision: z.number().int().positive(),
  set: z.strictObject({ routes: z.array(Route).default([]), services: z.array(Service).default([]), limits: Limits.optional() }),
  drop: z.strictObject({ routes: z.array(z.string()).default([]), services: z.array(z.string()).default([]) }),
})

function issues(error: z.ZodError): string[] {
  return error.issues.map((issue) => `${issue.path.join('.') || 'network'}: ${issue.message}`)
}

function replace<T extends { name: string }>(old: readonly T[], set: readonly T[], drop: readonly string[]): T[] {
  const changed = new Map(set.map((one) => [one.name, one]))
  const gone = new Set(drop)
  const kept = old.filter((one) => !gone.has(one.name) || changed.has(one.name))
  const known = new Set(kept.map((one) => one.name))
  return [...kept.map((one) => changed.get(one.name) ?? one), ...[...changed.values()].filter((one) => !known.has(one.name))]
}

export const Network = {
  Route,
  Service,
  Limits,

  /** A whole network as sent, or every reason against it with its path. */
  check(sent: unknown, current: number): Either<string[], Network> {
    const read = schema.safeParse(sent)
    return read.success ? Network.judge(read.data, current) : Left(issues(read.error))
  },

  /** The network that a change of named items makes, or every reason against it. */
  patched(base: Network, sent: unknown): Either<string[], Network> {
    return Network.readPatch(sent).chain(({ revision, set, drop }) => {
      const routes = replace(base.routes, set.routes, drop.routes)
      const services = replace(base.services, set.services, drop.services)
      return Network.judge({ ...base, revision, routes, services, limits: set.limits ?? base.limits }, base.revision)
    })
  },

  /** A change as sent, or every reason why it is none. */
  readPatch(sent: unknown): Either<string[], z.infer<typeof Patch>> {
    const read = Patch.safeParse(sent)
    return read.success ? Right(read.data) : Left(issues(read.error))
  },

  /** What no two routes may have in common. */
  place(route: z.infer<typeof Route>): string {
    return `${route.host.toLowerCase()} ${route.prefix}`
  },

  /** What speaks against a route by itself, before services that exist or don't. */
  routeErrors(route: z.infer<typeof Route>, path: string, exists: (service: string) => boolean): string[] {
    const errors: string[] = []
    for (const { service } of route.services) if (!exists(service)) errors.push(`${path}.services: no service is named ${service}`)
    if (!(route.services.reduce((sum, one) => sum + one.weight, 0) > 0) || route.services.some((one) => one.weight < 0))
      errors.push(`${path}.services: the weights must add up to more than 0`)
    if (!(route.timeoutMs > 0)) errors.push(`${path}.timeoutMs: must be above 0`)
    return errors
  },

  /** The revision that something sent would make, if it states one. */
  revisionOf(sent: unknown): number | undefined {
    return Numbered.safeParse(sent).data?.revision
  },

  judge(network: Network, current: number): Either<string[], Network> {
    const errors: string[] = []
    if (network.revision <= current) errors.push(`revision: must be above ${String(current)}`)
    const services = new Set(network.services.map((one) => one.name))
    if (services.size !== network.services.length) errors.push('services: names one twice')
    const names = new Set<string>()
    const places = new Map<string, string>()
    network.routes.forEach((route, at) => {
      const path = `routes.${String(at)}`
      if (names.has(route.name)) errors.push(`${path}.name: ${route.name} is named twice`)
      names.add(route.name)
      const place = Network.place(route)
      const other = places.get(place)
      if (other !== undefined) errors.push(`${path}.prefix: the same host and prefix as ${other}`)
      places.set(place, route.name)
      errors.push(...Network.routeErrors(route, path, (service) => services.has(service)))
    })
    return errors.length > 0 ? Left(errors) : Right(network)
  },
}
export type Network = z.infer<typeof schema>
