/**
 * No process takes more memory than its settings allow.
 */
import type { SoakLog } from './SoakLog.js'

export function judgeMemory({ memory }: SoakLog): string[] {
  return memory
    .filter(({ peakMb, limitMb }) => peakMb > limitMb)
    .map(({ who, peakMb, limitMb }) => `${who}: took ${peakMb.toFixed(0)} MB of ${limitMb.toFixed(0)}`)
}
