import { deepStrictEqual, ok } from 'node:assert'
import { test } from 'node:test'
import { SoakScene } from './SoakScene.js'
import { planTroubles } from './planTroubles.js'

const lengthMs = 30_000
const seeds = Array.from({ length: 200 }, (_, at) => at + 1)
const controls = SoakScene.controls.map((one) => one.name)

test('a seed always brings the same troubles, and others bring others', () => {
  deepStrictEqual(planTroubles(7, lengthMs), planTroubles(7, lengthMs))
  ok(new Set(seeds.map((seed) => JSON.stringify(planTroubles(seed, lengthMs)))).size === seeds.length)
})

test('every seed has troubles that overlap, and calm before and after', () => {
  for (const seed of seeds) {
    const troubles = planTroubles(seed, lengthMs)
    ok(troubles.some((one, at) => troubles.slice(at + 1).some((other) => other.fromMs < one.toMs)))
    ok(troubles.every((one) => one.fromMs >= 5000 && one.toMs <= lengthMs - 5000))
  }
})

test('no two control nodes are in trouble at once, and no one is twice', () => {
  for (const seed of seeds) {
    const troubles = planTroubles(seed, lengthMs)
    troubles.forEach((one, at) => {
      for (const other of troubles.slice(at + 1).filter((later) => later.fromMs <= one.toMs)) {
        ok(!(controls.includes(one.target) && controls.includes(other.target)))
        ok(one.target === '' || one.target !== other.target)
      }
    })
  }
})

test('each kind of trouble comes up', () => {
  const kinds = new Set(seeds.flatMap((seed) => planTroubles(seed, lengthMs).map((one) => one.kind)))
  deepStrictEqual([...kinds].sort(), [
    'breakAnswers',
    'crashServer',
    'cut',
    'cutOut',
    'freeze',
    'kill',
    'loseOperators',
    'loseOrders',
    'slowServer',
  ])
})
