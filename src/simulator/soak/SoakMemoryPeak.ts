/**
 * The greatest resident memory of one process of a soak, and what its settings allow it, in megabytes.
 */
export interface SoakMemoryPeak {
  who: string
  pid: number
  peakMb: number
  limitMb: number
}
