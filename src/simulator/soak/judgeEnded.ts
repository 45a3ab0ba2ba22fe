/**
 * No process ends by itself.
 */
import type { SoakLog } from './SoakLog.js'

export function judgeEnded({ ended }: SoakLog): string[] {
  return ended.map((what) => `a process ended by itself: ${what}`)
}
