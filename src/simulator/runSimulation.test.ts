import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { edgeMulti } from '../placement/edgeMulti.js'
import { Deployment } from './Deployment.js'
import type { SimOptions } from './SimOptions.js'
import { runSimulation } from './runSimulation.js'

const base = (seed: number, faults: readonly string[], broken = ''): SimOptions => ({
  deployment:
    Deployment.of('small') ??
    (() => {
      throw new Error('no small deployment')
    })(),
  seed,
  faults,
  calmMs: 5000,
  faultMs: 4000,
  quietMs: 25_000,
  broken,
  crowd: 100,
  grows: 400,
  together: false,
  uncheckedEpoch: false,
  policy: edgeMulti,
})

test('a calm run keeps every rule, and a second run of its seed is the same', () => {
  const one = runSimulation(base(1, []))
  const other = runSimulation(base(1, []))
  strictEqual(JSON.stringify(one.rules), JSON.stringify(other.rules))
  strictEqual(one.trace, other.trace)
  strictEqual(one.broken.join(), '')
  strictEqual(one.whole > 100, true)
  strictEqual(runSimulation(base(2, [])).trace === one.trace, false)
  strictEqual(one.turnedAway, 0)
})

test('a probe that crosses the answer to another does not keep an empty core from being founded', () => {
  strictEqual(runSimulation({ ...base(11, []), quietMs: 9000 }).broken.join(), '')
})

test('a dispatcher that dies and is back before its duty falls vacant takes up no forgotten orders', () => {
  const storm = [
    { name: 'kill-dispatcher', fromMs: 2000, lastsMs: 300 },
    { name: 'rare-rush', fromMs: 5000, lastsMs: 500 },
  ]
  for (const seed of [1, 2]) {
    const orders = runSimulation({ ...base(seed, []), quietMs: 9000, storm }).observations.filter((one) => one.kind === 'ordered')
    strictEqual(orders.length > 10, true)
    strictEqual(orders.filter((one) => !one.taken).length, 0)
  }
})
