/**
 * Each invariant is shown to be checked: for each rule, the system is run with that one rule broken at its edge, under
 * a fault that needs the rule. The run must fail by that rule, and pass with the rule unbroken.
 */
import { test } from 'node:test'
import { ok, strictEqual } from 'node:assert'
import { edgeMulti } from '../placement/edgeMulti.js'
import { Deployment } from './Deployment.js'
import { runSimulation } from './runSimulation.js'

interface BrokenRule {
  broken: string
  rule: string
  faults: string[]
  deployment: string
  together?: boolean
  faultMs?: number
  crowd?: number
  quietMs?: number
  seeds: number[]
  spares?: string[]
}

const brokenRules: readonly BrokenRule[] = [
  { broken: 'verdict', rule: 'ranTwice', faults: ['break-runs'], deployment: 'small', seeds: [1, 2] },
  { broken: 'told', rule: 'notRunRan', faults: ['break-runs'], deployment: 'small', seeds: [1, 2] },
  { broken: 'whole', rule: 'whole', faults: ['break-runs'], deployment: 'small', seeds: [1, 2] },
  { broken: 'early', rule: 'turnedAway', faults: ['crowd'], deployment: 'small', seeds: [1, 2] },
  {
    broken: 'identity',
    rule: 'stray',
    faults: ['reuse-address'],
    deployment: 'small',
    seeds: Array.from({ length: 80 }, (_, at) => at + 1),
  },
  {
    broken: 'lease',
    rule: 'charter',
    faults: ['cut-post-from-system'],
    deployment: 'small',
    faultMs: 12_000,
    seeds: [1, 2, 3, 4, 5, 6],
  },
  {
    broken: 'resets',
    rule: 'overdue',
    faults: ['control-cut-both'],
    deployment: 'small',
    faultMs: 12_000,
    quietMs: 22_000,
    seeds: [1, 2],
  },
  {
    broken: 'staleRenewals',
    rule: 'formerLife',
    faults: ['post-cut-restarted'],
    deployment: 'small',
    faultMs: 12_000,
    quietMs: 22_000,
    seeds: [1, 2, 3, 4, 5, 6],
  },
  { broken: 'recovery', rule: 'recovery', faults: ['crash-server'], deployment: 'small', quietMs: 30_000, seeds: [1, 2] },
  { broken: 'sync', rule: 'charter', faults: ['stop-all'], deployment: 'small', seeds: [1, 2, 3, 4] },
  { broken: 'reads', rule: 'linear', faults: ['split-core'], deployment: 'small', seeds: [1, 2, 3, 4] },
  { broken: 'drain', rule: 'drain', faults: ['drain-server'], deployment: 'small', seeds: [1, 2, 3, 4] },
  { broken: 'emptied', rule: 'emptied', faults: ['kill-proxy'], deployment: 'small', seeds: [1, 2, 3] },
  {
    broken: 'budget',
    rule: 'retries',
    faults: ['crowd', 'break-runs'],
    deployment: 'small',
    together: true,
    crowd: 400,
    seeds: [13, 19, 21],
  },
  { broken: 'cold', rule: 'cold', faults: ['crash-server', 'crowd'], deployment: 'small', seeds: [1, 2, 3, 4] },
  { broken: 'room', rule: 'room', faults: ['rare-rush'], deployment: 'tight', seeds: [1, 2], spares: ['recovery'] },
  { broken: 'places', rule: 'room', faults: ['rare-rush'], deployment: 'tight', seeds: [1, 2, 3, 4, 5, 6], spares: ['recovery'] },
  { broken: 'flights', rule: 'flights', faults: ['rare-rush'], deployment: 'tight', seeds: [1, 2, 3, 4, 5, 6], spares: ['recovery'] },
  { broken: 'store', rule: 'store', faults: ['rare-rush'], deployment: 'tight', seeds: [1, 2], spares: ['recovery'] },
  {
    broken: 'staleOrders',
    rule: 'controllers',
    faults: ['order-trouble', 'kill-dispatcher'],
    deployment: 'tight',
    together: true,
    seeds: [1, 2, 3, 4, 5, 6, 7, 8],
    spares: ['recovery'],
  },
]

function run(one: BrokenRule, seed: number, broken: string): string[] {
  const deployment = Deployment.of(one.deployment)
  if (deployment === undefined) throw new Error(`no deployment is named ${one.deployment}`)
  return runSimulation({
    deployment,
    seed,
    faults: one.faults,
    calmMs: 6000,
    faultMs: one.faultMs ?? 4000,
    quietMs: one.quietMs ?? 16_000,
    broken,
    crowd: one.crowd ?? 150,
    grows: 400,
    together: one.together ?? false,
    uncheckedEpoch: false,
    policy: edgeMulti,
  }).broken
}

for (const one of brokenRules) {
  test(`${one.rule} bites when ${one.broken} is broken, and only then`, () => {
    const seed = one.seeds.find((at) => run(one, at, one.broken).includes(one.rule))
    ok(seed !== undefined, `no seed of ${one.seeds.join()} broke ${one.rule}`)
    strictEqual(
      run(one, seed, '')
        .filter((rule) => one.spares?.includes(rule) !== true)
        .join(),
      '',
    )
  })
}
