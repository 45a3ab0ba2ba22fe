import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { SoakScene } from './SoakScene.js'
import { planTroubles } from './planTroubles.js'
import { soakSizes } from './soakSizes.js'
import { troubleKinds } from './troubleKinds.js'

const { small, large } = soakSizes
const lengthMs = 30_000
const seeds = Array.from({ length: 200 }, (_, at) => at + 1)
const controls = SoakScene.controls.map((one) => one.name)

test('a seed always brings the same troubles, and others bring others', () => {
  deepStrictEqual(planTroubles(7, small, lengthMs), planTroubles(7, small, lengthMs))
  ok(new Set(seeds.map((seed) => JSON.stringify(planTroubles(seed, small, lengthMs)))).size === seeds.length)
})

test('every seed has troubles that overlap, and calm before and after', () => {
  for (const seed of seeds) {
    const troubles = planTroubles(seed, small, lengthMs)
    ok(troubles.some((one, at) => troubles.slice(at + 1).some((other) => other.fromMs < one.toMs)))
    ok(troubles.every((one) => one.fromMs >= 5000 && one.toMs <= lengthMs - 5000))
  }
})

test('no two control nodes are in trouble at once, and no one is twice', () => {
  for (const seed of seeds) {
    const troubles = planTroubles(seed, small, lengthMs)
    troubles.forEach((one, at) => {
      // A reload is no absence: it may come to a process that is being stopped.
      if (one.kind === 'reload') return
      for (const other of troubles.slice(at + 1).filter((later) => later.kind !== 'reload' && later.fromMs <= one.toMs)) {
        ok(!(controls.includes(one.target) && controls.includes(other.target)))
        ok(one.target === '' || one.target !== other.target)
      }
    })
  }
})

test('each kind of trouble comes up', () => {
  const kinds = new Set(seeds.flatMap((seed) => planTroubles(seed, small, lengthMs).map((one) => one.kind)))
  deepStrictEqual([...kinds].sort(), [...troubleKinds].sort())
})

test('stops come in series, each before the last one is back, with reloads within them', () => {
  const all = seeds.map((seed) => planTroubles(seed, small, lengthMs))
  const series = all.filter((troubles) => troubles.some((one) => one.kind === 'stop'))
  ok(series.length > seeds.length / 4, `${String(series.length)} of ${String(seeds.length)} seeds stop a process`)
  for (const troubles of series) {
    const stops = troubles.filter((one) => one.kind === 'stop')
    ok(stops.some((one) => stops.some((other) => other !== one && other.fromMs > one.fromMs && other.fromMs < one.toMs)))
    ok(stops.every((one) => one.toMs <= lengthMs - 5000))
  }
  const within = (one: { target: string; fromMs: number }, other: { target: string; fromMs: number; toMs: number }) =>
    one.target === other.target && one.fromMs > other.fromMs && one.fromMs < other.toMs
  ok(
    series.some((troubles) =>
      troubles.some((one) => one.kind === 'reload' && troubles.some((other) => other.kind === 'stop' && within(one, other))),
    ),
  )
})

test('in the large scene a series takes many gateways, each once, and ends before the run does', () => {
  const stops = seeds.map((seed) => planTroubles(seed, large, lengthMs).filter((one) => one.kind === 'stop'))
  const series = stops.filter((all) => all.length > 0)
  ok(series.length > seeds.length / 4)
  for (const all of series) {
    ok(all.length >= large.leastStops)
    strictEqual(new Set(all.map((one) => one.target)).size, all.length)
    ok(all.every((one) => one.toMs <= lengthMs - 5000))
  }
})
