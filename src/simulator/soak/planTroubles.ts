/**
 * The troubles of a seed: episodes of two or three that overlap, or series of planned stops and reloads, with calm between them.
 * No more than one control node is in trouble at a time, as that is what the scene tolerates.
 */
import { Random } from '../../common/Random.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSize } from './SoakSize.js'
import type { Trouble } from './Trouble.js'
import { planPressure } from './planPressure.js'
import { planStops } from './planStops.js'

const firstMs = 5000
const calmMs = 5500
const lastCalmMs = 5000
const leastMs = 1000
const mostMs = 4000
const staggerMs = 1000
const leastAtOnce = 2
const mostAtOnce = 3
const plainRatio = 0.4
const stopsRatio = 0.6
/** How often a series of stops has another trouble beside it. */
const mixedRatio = 0.3
const troublesOfNodes: readonly Trouble['kind'][] = ['kill', 'freeze', 'cut', 'cutOut']
const troublesOfServers: readonly Trouble['kind'][] = ['crashServer', 'slowServer', 'breakAnswers', 'breakAnswers']
const troublesOfAnswers: readonly Trouble['kind'][] = ['loseOrders', 'loseOperators']

function drawTarget(random: Random, size: SoakSize, kind: Trouble['kind'], control: string): string {
  if (troublesOfAnswers.includes(kind)) return ''
  if (troublesOfServers.includes(kind)) return random.pick(random.hit(plainRatio) ? SoakScene.plain : SoakScene.servers)?.name ?? ''
  return random.hit(0.5) ? control : (random.pick(SoakScene.gateways(size))?.name ?? '')
}

/** Seeds of a course of their own, so that what a seed brought before stays as it was. */
const pressureSeeds = 1_000_000

/** A trouble of a gateway that the series leaves alone, or of a server. */
function drawBeside(random: Random, size: SoakSize, series: readonly Trouble[], atMs: number): Trouble {
  const free = SoakScene.gateways(size).filter((gateway) => !series.some((one) => one.target === gateway.name))
  const ofNode = random.hit(0.5)
  const kind = random.pick(ofNode ? troublesOfNodes : troublesOfServers) ?? 'kill'
  const target = ofNode ? (random.pick(free)?.name ?? '') : drawTarget(random, size, kind, '')
  const fromMs = atMs + random.between(0, mostMs)
  return { kind, target, fromMs, toMs: fromMs + random.between(leastMs, mostMs) }
}

export function planTroubles(seed: number, size: SoakSize, lengthMs: number): Trouble[] {
  const random = new Random(seed)
  const troubles: Trouble[] = []
  let atMs = firstMs
  while (atMs + staggerMs + mostMs + lastCalmMs <= lengthMs) {
    const control = random.pick(SoakScene.controls)?.name ?? ''
    if (atMs + planStops.mostMs(size) + lastCalmMs <= lengthMs && random.hit(stopsRatio)) {
      const series = planStops.draw(random, size, control, atMs)
      if (random.hit(mixedRatio)) series.push(drawBeside(random, size, series, atMs))
      troubles.push(...series)
      atMs = Math.max(...series.map((one) => one.toMs)) + calmMs
      continue
    }
    const count = leastAtOnce + random.below(mostAtOnce - leastAtOnce + 1)
    const episode: Trouble[] = []
    while (episode.length < count) {
      const group = random.pick([troublesOfNodes, troublesOfNodes, troublesOfServers, troublesOfAnswers])
      const kind = random.pick(group ?? []) ?? 'kill'
      const target = drawTarget(random, size, kind, control)
      const fromMs = atMs + random.between(0, staggerMs)
      const trouble = { kind, target, fromMs, toMs: fromMs + random.between(leastMs, mostMs) }
      if (!episode.some((one) => one.target === target && (target !== '' || one.kind === kind))) episode.push(trouble)
    }
    troubles.push(...episode)
    atMs = Math.max(...episode.map((one) => one.toMs)) + calmMs
  }
  troubles.push(...planPressure(new Random(seed + pressureSeeds), size, lengthMs, troubles))
  return troubles.sort((one, other) => one.fromMs - other.fromMs)
}
