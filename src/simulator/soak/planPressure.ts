/**
 * The troubles of memory and of starts that a seed adds to its others: a burst of bodies and one of changes at any moment, a start
 * beside a taken address and one beside a predecessor in its stop, of nodes that no other trouble has then.
 */
import type { Random } from '../../common/Random.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSize } from './SoakSize.js'
import type { Trouble } from './Trouble.js'

const firstMs = 5000
const burstMs = 2000
const heldMs = 1000
/** From the end of one trouble of a node to the next. */
const apartMs = 2000
const controlRatio = 0.3
const lastCalmMs = 5000
const tries = 20
const controls: ReadonlySet<string> = new Set(SoakScene.controls.map((one) => one.name))

function isFree(troubles: readonly Trouble[], { target, fromMs, toMs }: Trouble): boolean {
  return troubles.every((one) => {
    if (one.toMs + apartMs < fromMs || one.fromMs > toMs + apartMs) return true
    return one.target !== target && !(controls.has(one.target) && controls.has(target))
  })
}

export function planPressure(random: Random, size: SoakSize, lengthMs: number, troubles: readonly Trouble[]): Trouble[] {
  const planned: Trouble[] = []
  const add = (kind: Trouble['kind'], spanMs: number, drawTarget: () => string) => {
    for (let tried = 0; tried < tries; tried++) {
      const fromMs = random.between(firstMs, Math.max(firstMs, lengthMs - lastCalmMs - spanMs))
      const trouble = { kind, target: drawTarget(), fromMs, toMs: fromMs + spanMs }
      if (trouble.toMs > lengthMs - lastCalmMs || !isFree([...troubles, ...planned], trouble)) continue
      planned.push(trouble)
      return
    }
  }
  const gateway = () => random.pick(SoakScene.gateways(size))?.name ?? ''
  const control = () => random.pick(SoakScene.controls)?.name ?? ''
  const either = () => (random.hit(controlRatio) ? control() : gateway())
  add('burstBodies', burstMs, gateway)
  add('burstChanges', burstMs, control)
  add('holdAddress', heldMs, either)
  add('overlapStart', SoakScene.graceMs, either)
  return planned
}
