/**
 * A series of planned work: gateways are stopped one after the other, each before the one before it is back, reloads come to
 * any of them, also within its stop, and at most one control node is stopped beside them.
 */
import type { Random } from '../../common/Random.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSize } from './SoakSize.js'
import type { Trouble } from './Trouble.js'

const reloads = 3
const controlRatio = 0.5

export const planStops = {
  /** The longest that a series lasts, in milliseconds. */
  mostMs: ({ mostStops, mostGapMs }: SoakSize) => (mostStops - 1) * mostGapMs + SoakScene.graceMs,

  draw(random: Random, size: SoakSize, control: string, startMs: number): Trouble[] {
    const { leastStops, mostStops, leastGapMs, mostGapMs } = size
    const left = SoakScene.gateways(size).map((one) => one.name)
    const count = leastStops + random.below(mostStops - leastStops + 1)
    const stops: Trouble[] = []
    let fromMs = startMs
    while (stops.length < count) {
      const [target = ''] = left.splice(random.below(left.length), 1)
      stops.push({ kind: 'stop', target, fromMs, toMs: fromMs + SoakScene.graceMs })
      fromMs += random.between(leastGapMs, mostGapMs)
    }
    const lastMs = Math.max(...stops.map((one) => one.fromMs))
    if (random.hit(controlRatio)) {
      const atMs = random.between(startMs, lastMs)
      stops.push({ kind: 'stop', target: control, fromMs: atMs, toMs: atMs + SoakScene.graceMs })
    }
    const reloaded = Array.from({ length: reloads }, (): Trouble => {
      const atMs = random.between(startMs, lastMs + mostGapMs)
      return { kind: 'reload', target: random.pick(stops)?.target ?? '', fromMs: atMs, toMs: atMs }
    })
    return [...stops, ...reloaded]
  },
}
