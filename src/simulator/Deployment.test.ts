import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Deployment } from './Deployment.js'

test('both deployments have the sizes of today', () => {
  for (const [name, models, adapters, servers] of [
    ['gopherline', 36, 40, 11],
    ['cascade', 30, 55, 16],
  ] as const) {
    const deployment = Deployment.of(name)
    const branch = deployment?.charter.partners[name]
    strictEqual(Object.keys(branch?.models ?? {}).length, models)
    strictEqual(
      Object.values(branch?.models ?? {}).reduce((sum, model) => sum + model.adapters.length, 0),
      adapters,
    )
    strictEqual(deployment?.servers.length, servers)
  }
})
