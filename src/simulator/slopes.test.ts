import { test } from 'node:test'
import { ok, strictEqual } from 'node:assert'
import { HollowNetwork } from './HollowNetwork.js'
import { slopes } from './slopes.js'

test('a size that cannot be is turned away with its bound', () => {
  strictEqual(slopes.impossible(['nodes'], [20, 80, 320]), undefined)
  strictEqual(slopes.impossible(slopes.names, undefined), undefined)
  strictEqual(slopes.impossible(['nodes'], [20, 80, 401]), 'nodes can be whole numbers from 1 to 400')
  strictEqual(slopes.impossible(['nodes'], [0, 1, 2]), 'nodes can be whole numbers from 1 to 400')
  strictEqual(slopes.impossible(['nodes'], [1.5, 2, 3]), 'nodes can be whole numbers from 1 to 400')
  strictEqual(slopes.impossible(['nodes'], [20, 80]), 'a slope needs three sizes or more')
  strictEqual(slopes.impossible(['nodes', 'servers'], [1, 2, 3]), 'sizes are for one dimension')
  strictEqual(slopes.impossible(['leagues'], undefined), 'no dimension is named leagues')
})

test('bytes repeat from run to run, and a slope is told for each figure', () => {
  const run = () => {
    const lines: string[] = []
    slopes.run(['models'], [4, 8, 12], (line) => lines.push(line))
    return lines.filter((line) => line.includes('bytes'))
  }
  const lines = run()
  strictEqual(lines.join(), run().join())
  ok(lines.some((line) => line.includes('news: bytes of any change of the service') && line.includes('slope')))
})

test('a hollow network founds itself, serves requests and counts what it sends', () => {
  const of = () => {
    const size = {
      boxes: 3,
      nodes: 3,
      servers: 4,
      models: 4,
      adapters: 4,
      routes: 2,
      requestsPerS: 20,
      rarePerS: 0,
      changesPerS: 2,
      events: 3,
      runMs: 300,
    }
    const network = new HollowNetwork(size)
    network.begin()
    network.measure(2000)
    return network
  }
  const one = of()
  const other = of()
  const { leader, leaf } = one.roles
  ok(one.account(leader).sentBytes > 0 && one.account(leaf).heardBytes > 0)
  strictEqual(one.account(leader).sentBytes, other.account(other.roles.leader).sentBytes)
  ok(one.requests > 30 && one.ackMs.length >= 3)
  strictEqual(new Set(one.edges.map((edge) => edge.agent.copy.stamp)).size, 1)
  ok(one.edges.every((edge) => edge.gateway.open <= 10))
})
