/**
 * Seeded histories of operators' orders against three core machines, judged for linearizability; and the
 * judge seen to bite: each variant breaks one mechanism, from outside of the machines, and is found out.
 */
import { test } from 'node:test'
import { deepStrictEqual, match, ok } from 'node:assert'
import { ReplicatedState } from '../consensus/ReplicatedState.js'
import type { OrderSabotage } from './OrderSabotage.js'
import { runOrders } from './runOrders.js'

const seeds = (count: number): number[] => Array.from({ length: count }, (_, at) => at + 1)

test('whatever befalls the core, operators see one order of changes, and what was refused never comes into force', () => {
  const totals = { attempts: 0, acknowledged: 0, refused: 0, reads: 0 }
  for (const seed of seeds(500)) {
    const run = runOrders(seed)
    deepStrictEqual([seed, ...run.defects], [seed])
    totals.attempts += run.attempts
    totals.acknowledged += run.acknowledged
    totals.refused += run.refused
    totals.reads += run.reads
  }
  ok(totals.acknowledged > 2000 && totals.refused > 1000 && totals.reads > 1500, JSON.stringify(totals))
})

interface Variant {
  readonly name: string
  readonly defect: RegExp
  readonly sabotage: OrderSabotage
  readonly withinSeeds: number
}
const newest = Number.MAX_SAFE_INTEGER
const variants: readonly Variant[] = [
  {
    name: 'a leader acknowledges before an order is committed',
    defect: /was known|both|read back|refused at last/,
    withinSeeds: 100,
    sabotage: {
      answer: (machine, { action }) =>
        action.startsWith('network.p') && machine.raft.phase === 'leader' ? { status: 200, text: '{}' } : undefined,
    },
  },
  {
    name: 'a node reads by its own state, whoever leads',
    defect: /a read gave revision/,
    withinSeeds: 100,
    sabotage: {
      answer: (machine, { action }) => {
        const { network } = machine.replicatedState
        if (action !== 'network.get' || network === undefined) return undefined
        return { status: 200, text: JSON.stringify(network) }
      },
    },
  },
  {
    name: 'a machine that led once reads without asking a majority',
    defect: /a read gave revision/,
    withinSeeds: 400,
    sabotage: deposedReads(),
  },
  {
    name: 'a node refuses by its own state, whoever leads',
    defect: /refused though that revision was current|its repeat refused/,
    withinSeeds: 100,
    sabotage: {
      answer: (machine, { action, ifMatch }) =>
        action.startsWith('network.p') && ifMatch !== (machine.replicatedState.network?.revision ?? 0)
          ? { status: 412, text: '{}' }
          : undefined,
    },
  },
  {
    name: 'what was taken is forgotten',
    defect: /its repeat refused/,
    withinSeeds: 100,
    sabotage: {
      meddle: (machine) => {
        const saved: unknown = JSON.parse(Buffer.from(machine.replicatedState.save()).toString())
        const none = { revisions: [], refusals: [], forgotten: 0 }
        machine.replicatedState = ReplicatedState.restore(Buffer.from(JSON.stringify(Object.assign({}, saved, { networkOutcomes: none }))))
      },
    },
  },
  {
    name: 'an evacuation says nothing of what its node had applied',
    defect: /the zone is not as its last acknowledged order said/,
    withinSeeds: 400,
    sabotage: {
      change: (message) => (message.kind === 'operate' && message.action.startsWith('zone.') ? { ...message, basis: newest } : message),
    },
  },
  {
    name: 'a delayed copy of a refused order is judged anew',
    defect: /refused at last and is in force/,
    withinSeeds: 1500,
    sabotage: {
      change: (message) => (message.kind === 'operate' && message.action.startsWith('network.') ? { ...message, basis: newest } : message),
    },
  },
  {
    name: 'an answer to an earlier life of a node is taken for one of this life',
    defect: /were both taken|was known|refused/,
    withinSeeds: 400,
    sabotage: { sameLives: true },
  },
]

/** Once a machine has led, it answers reads from what it has applied, as a leader that doesn't know that it was deposed. */
function deposedReads(): OrderSabotage {
  const led = new WeakSet<object>()
  return {
    meddle: (machine) => {
      if (machine.raft.settled) led.add(machine)
    },
    answer: (machine, { action }) => {
      const { network } = machine.replicatedState
      return action === 'network.get' && network !== undefined && led.has(machine)
        ? { status: 200, text: JSON.stringify(network) }
        : undefined
    },
  }
}

for (const { name, defect, sabotage, withinSeeds } of variants) {
  test(`found out: ${name}`, () => {
    let found: string | undefined
    for (const seed of seeds(withinSeeds)) {
      found = runOrders(seed, sabotage).defects.find((one) => defect.test(one))
      if (found !== undefined) break
    }
    match(found ?? '', defect)
  })
}
