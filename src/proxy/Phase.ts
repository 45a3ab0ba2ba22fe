/**
 * The state chart of a request's way through a proxy. `sent` is the one place where "may have run"
 * begins; the last three states are final.
 */

const next = {
  arrived: ['bound', 'held', 'turnedAway'],
  held: ['bound', 'turnedAway'],
  bound: ['connecting', 'held', 'turnedAway'],
  connecting: ['identified', 'held', 'turnedAway'],
  identified: ['sent', 'held', 'turnedAway'],
  sent: ['streaming', 'held', 'defected', 'turnedAway'],
  streaming: ['responded', 'defected'],
  responded: [],
  defected: [],
  turnedAway: [],
} as const

export const Phase = {
  allows(from: Phase, to: Phase): boolean {
    const targets: readonly Phase[] = next[from]
    return targets.includes(to)
  },
  final(phase: Phase): boolean {
    return next[phase].length === 0
  },
}
export type Phase = keyof typeof next
