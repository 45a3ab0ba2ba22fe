/**
 * Runs that are kept: every fault once, and each run that a sweep found failing, with what was wrong
 * then. All of them must keep every rule.
 */
import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { edgeMulti } from '../placement/edgeMulti.js'
import { Deployment } from './Deployment.js'
import { runSimulation } from './runSimulation.js'
import { SimFault } from './SimFault.js'
import { simFaults } from './simFaults.js'

interface KeptSeed {
  seed: number
  faults: string[]
  together: boolean
  was: string
  unchecked?: boolean
  deployment?: string
  crowd?: number
}

const keptSeeds: readonly KeptSeed[] = [
  ...Object.keys(simFaults).map((name) => ({ seed: 1, faults: [name], together: false, was: '' })),
  {
    seed: 13,
    faults: ['cut-leader-off', 'kill-leader'],
    together: false,
    was: 'an operator waited 9 s for a machine that could not answer',
  },
  {
    seed: 17,
    faults: ['kill-dispatcher', 'freeze-post'],
    together: false,
    was: 'an operator waited 9 s for a machine that could not answer',
  },
  {
    seed: 23,
    faults: ['freeze-dispatcher', 'kill-box'],
    together: false,
    was: 'an operator waited 9 s for a machine that could not answer',
  },
  {
    seed: 19,
    faults: ['order-trouble', 'kill-proxy'],
    together: false,
    was: 'a late copy of an older order was taken for a second order',
  },
  { seed: 22, faults: ['split-core', 'order-trouble'], together: false, was: 'a late copy of an older order was taken for a second order' },
  { seed: 4, faults: ['break-runs'], together: false, was: 'a request that had run was told NotRun when its due passed' },
  ...[2, 12, 21].map((seed) => ({
    seed,
    faults: ['split-core', 'order-trouble'],
    together: true,
    unchecked: true,
    was: 'a second copy of an order came late to a server that cannot check',
  })),
  {
    seed: 1,
    faults: ['kill-dispatcher'],
    together: false,
    unchecked: true,
    was: 'the first dispatcher there ever was waited for orders of a predecessor',
  },
  { seed: 105, faults: ['break-runs', 'freeze-proxy'], together: true, was: 'the checker held a frozen proxy to its dues' },
  { seed: 200, faults: ['cut-core-off', 'drain-server'], together: true, was: 'the checker wanted a drain obeyed that no core could tell' },
  {
    seed: 45,
    faults: ['crowd', 'break-runs'],
    together: true,
    crowd: 400,
    was: 'grants of further tries were kept until servers were trusted again, and all used at once',
  },
  {
    seed: 16,
    faults: ['swap-seeds@1539+1507', 'stop-all@5255+3027'],
    together: false,
    was: 'seeds that were agents knew no core after all had stopped',
  },
  {
    seed: 45,
    faults: ['swap-seeds@5856+5165', 'stop-all@34390+1559'],
    together: false,
    was: 'seats that had forgotten an acknowledged charter vouched for an older one',
  },
  ...[
    'control-cut-both',
    'control-cut-outward',
    'control-cut-inward',
    'control-cut-restarted',
    'control-cut-outward-restarted',
    'leader-cut-from-voters',
    'post-cut-restarted',
  ].flatMap((name) => [1, 2].map((seed) => ({ seed, faults: [`${name}@500+20000`], together: false, was: '' }))),
]

for (const { seed, faults, together, was, unchecked, deployment: where, crowd } of keptSeeds) {
  test(`${faults.join(together ? ' with ' : ' then ')}, seed ${String(seed)}${was === '' ? '' : `: once ${was}`}`, () => {
    const deployment = Deployment.of(where ?? 'small')
    if (deployment === undefined) throw new Error(`no ${where ?? 'small'}`)
    const storm = SimFault.read(faults.join(','))
    const result = runSimulation({
      deployment,
      seed,
      faults: storm === undefined ? faults : [],
      ...(storm === undefined ? {} : { storm }),
      calmMs: 6000,
      faultMs: 4000,
      quietMs: 22_000,
      broken: '',
      crowd: crowd ?? 150,
      grows: 400,
      together,
      uncheckedEpoch: unchecked ?? false,
      policy: edgeMulti,
    })
    strictEqual(result.broken.map((rule) => `${rule}: ${result.rules[rule]?.[0] ?? ''}`).join('\n'), '')
    strictEqual(result.whole > 300, true)
  })
}
