/**
 * Measures what each mechanism is worth: every scene is played with all mechanisms and without one of them, on the same
 * seeds, and the differences of the worth earned are told as a table, with their spread over the seeds.
 */
import type { Mechanism } from '../common/Mechanism.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { edgeMulti } from '../placement/edgeMulti.js'
import { ablationScenes } from './ablationScenes.js'
import { FleetScene } from './placementWorld/FleetScene.js'

type Worths = readonly number[]

function worthOf(scene: string, seed: number, without: readonly Mechanism[]): number {
  const given = ablationScenes[scene]?.(seed)
  if (given === undefined) return 0
  const policy = { ...edgeMulti, mechanisms: Mechanisms.without(without) }
  return FleetScene.play({ ...given, policy }).record.worth(given.kinds)
}

function mean(values: Worths): number {
  return values.reduce((sum, one) => sum + one, 0) / Math.max(1, values.length)
}

function spread(values: Worths): number {
  return Math.max(...values) - Math.min(...values)
}

const signed = (value: number) => `${value < 0 ? '-' : '+'}${Math.abs(value).toFixed(4)}`
const cell = (text: string) => text.padStart(20)

export function ablate(
  seeds: readonly number[],
  scenes: readonly string[],
  mechanisms: readonly Mechanism[],
  say: (line: string) => void,
): void {
  const whole = new Map(scenes.map((scene) => [scene, seeds.map((seed) => worthOf(scene, seed, []))]))
  say(`seeds ${seeds.join(', ')}; a cell is the worth (spread over seeds), or what it loses without the mechanism (spread)`)
  say(['mechanism'.padEnd(20), ...scenes.map(cell)].join(''))
  const row = (name: string, texts: readonly string[]) => {
    say([name.padEnd(20), ...texts.map(cell)].join(''))
  }
  row(
    'all',
    scenes.map((scene) => `${mean(whole.get(scene) ?? []).toFixed(4)} (${spread(whole.get(scene) ?? []).toFixed(4)})`),
  )
  for (const mechanism of mechanisms) {
    const losses = scenes.map((scene) => seeds.map((seed, at) => (whole.get(scene)?.[at] ?? 0) - worthOf(scene, seed, [mechanism])))
    row(
      mechanism,
      losses.map((one) => `${signed(mean(one))} (${spread(one).toFixed(4)})`),
    )
  }
}
