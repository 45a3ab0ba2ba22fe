/**
 * Warns when a process comes near the memory that it may take, with what the memory goes to: if the platform ends it then, the log
 * says why.
 */
import { getHeapStatistics } from 'node:v8'
import type { MemoryBudget } from './MemoryBudget.js'

/** What a process takes, in bytes. */
interface MemoryReading {
  readonly resident: number
  readonly heap: number
  readonly heapLimit: number
  readonly external: number
}

const everyMs = 1000
const bytesPerMb = 1_000_000
/** It warns above the first part of a limit, and again only after the use was below the second. */
const highRatio = 0.8
const lowRatio = 0.7
const inMb = (bytes: number) => (bytes / bytesPerMb).toFixed(0)

function readProcess(): MemoryReading {
  const { rss, external } = process.memoryUsage()
  const { used_heap_size: heap, heap_size_limit: heapLimit } = getHeapStatistics()
  return { resident: rss, heap, heapLimit, external }
}

export class MemoryWatch {
  readonly #limitBytes: number
  readonly #budget: MemoryBudget
  readonly #warn: (sentence: string) => void
  readonly #timer: NodeJS.Timeout
  #isHigh = false

  /** `limitMb` is what the process may take, in megabytes. */
  constructor(limitMb: number, budget: MemoryBudget, warn: (sentence: string) => void) {
    this.#limitBytes = limitMb * bytesPerMb
    this.#budget = budget
    this.#warn = warn
    this.#timer = setInterval(() => {
      this.look(readProcess())
    }, everyMs)
    this.#timer.unref()
  }

  look({ resident, heap, heapLimit, external }: MemoryReading): void {
    const ratio = Math.max(resident / this.#limitBytes, heap / heapLimit)
    if (this.#isHigh) this.#isHigh = ratio > lowRatio
    else if (ratio > highRatio) {
      this.#isHigh = true
      const parts = [...this.#budget.uses].map(([part, { bytes }]) => `${part} ${inMb(bytes)} MB`)
      this.#warn(
        [
          `${inMb(resident)} of ${inMb(this.#limitBytes)} MB in use: heap ${inMb(heap)} of ${inMb(heapLimit)} MB`,
          `external ${inMb(external)} MB`,
          ...parts,
        ].join(', '),
      )
    }
  }

  close(): void {
    clearInterval(this.#timer)
  }
}
