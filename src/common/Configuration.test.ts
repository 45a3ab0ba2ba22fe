import { test } from 'node:test'
import { deepStrictEqual, ok } from 'node:assert'
import { Configuration } from './Configuration.js'
import { Network } from './Network.js'
import { Random } from './Random.js'

const seeds = 40
const turns = 80
const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }

function randomName(random: Random, kind: string): string {
  return `${kind}-${String(random.below(8))}`
}

function randomRoute(random: Random) {
  const name = randomName(random, 'r')
  const own = random.hit(0.7)
  return {
    name,
    host: own ? name : (random.pick(['h', 'H', 'g']) ?? ''),
    prefix: random.pick(['/', '/a/']),
    kind: 'once',
    timeoutMs: random.hit(0.03) ? 0 : 100,
    services: Array.from({ length: 1 + random.below(2) }, () => ({
      service: randomName(random, 's'),
      weight: random.hit(0.05) ? random.below(2) - 1 : 1 + random.below(5),
    })),
  }
}

function randomPatch(random: Random, current: number): unknown {
  const some = <T>(most: number, make: () => T) => Array.from({ length: random.below(most + 1) }, make)
  return {
    revision: current + (random.hit(0.95) ? 1 : 0),
    set: {
      routes: some(3, () => randomRoute(random)),
      services: some(2, () => ({ name: randomName(random, 's'), connections: random.below(9) })),
      ...(random.hit(0.2) ? { limits: { ...limits, idleMs: random.below(9) } } : {}),
      ...(random.hit(0.02) ? { unknown: 1 } : {}),
    },
    drop: { routes: some(2, () => randomName(random, 'r')), services: random.hit(0.3) ? some(2, () => randomName(random, 's')) : [] },
  }
}

function first(): Network {
  const services = Array.from({ length: 8 }, (_, at) => ({ name: `s-${String(at)}`, connections: 1 }))
  const sent = { revision: 1, routes: [], services, limits, more: { kept: 'yes' } }
  return Network.check(sent, 0).caseOf<Network>({
    Left: (errors) => {
      throw new Error(errors.join('; '))
    },
    Right: (network) => network,
  })
}

test('random changes are judged and carried out as by the check of the whole configuration', () => {
  let taken = 0
  let refused = 0
  for (let seed = 1; seed <= seeds; seed++) {
    const random = new Random(seed)
    let whole = first()
    const configuration = new Configuration(whole)
    for (let turn = 0; turn < turns; turn++) {
      const patch = randomPatch(random, whole.revision)
      const expected = Network.patched(whole, patch)
      const made = configuration.patch(patch).map(() => configuration.network)
      deepStrictEqual(made.extract(), expected.extract())
      whole = expected.orDefault(whole)
      if (made.isRight()) taken += 1
      else refused += 1
      deepStrictEqual(configuration.network, whole)
      const { routes, services, ...head } = whole
      deepStrictEqual([configuration.head, routes.length, services.length], [head, whole.routes.length, whole.services.length])
    }
  }
  ok(taken > 500 && refused > 500, `${String(taken)} taken, ${String(refused)} refused`)
})

test('a change tells what it set and dropped, and a change that is refused leaves no trace', () => {
  const configuration = new Configuration(first())
  const route = { name: 'r', host: 'h', prefix: '/', kind: 'once', timeoutMs: 1, services: [{ service: 's-1', weight: 1 }] }
  const before = configuration.network
  ok(configuration.patch({ revision: 2, set: { routes: [{ ...route, timeoutMs: 0 }] }, drop: { services: ['s-0'] } }).isLeft())
  deepStrictEqual(configuration.network, before)
  const change = configuration.patch({ revision: 2, set: { routes: [route] }, drop: { routes: ['none'], services: ['s-0', 's-0'] } })
  deepStrictEqual(
    change.map(({ routes, services }) => [routes.set.map((one) => one.name), routes.dropped, services.set, services.dropped]).extract(),
    [['r'], [], [], ['s-0']],
  )
  ok(configuration.patch({ revision: 3, set: {}, drop: { services: ['s-1'] } }).isLeft())
})
