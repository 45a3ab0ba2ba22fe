/**
 * Looks again and again at the resident memory of a soak's processes, as the machine tells it.
 */
import { readFile } from 'node:fs/promises'
import { setTimeout as pause } from 'node:timers/promises'
import type { SoakLog } from './SoakLog.js'
import type { SoakNode } from './SoakNode.js'

const everyMs = 100
const kilobytesPerMb = 1000

async function residentMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${String(pid)}/status`, 'utf8').catch(() => '')
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / kilobytesPerMb
}

export class SoakMemoryWatch {
  readonly #nodes: readonly SoakNode[]
  readonly #log: SoakLog
  #over = false

  constructor(nodes: readonly SoakNode[], log: SoakLog) {
    this.#nodes = nodes
    this.#log = log
  }

  /** Resolves once it was stopped. */
  async run(): Promise<void> {
    while (!this.#over) {
      await Promise.all(this.#nodes.map((node) => this.#look(node)))
      await pause(everyMs)
    }
  }

  stop(): void {
    this.#over = true
  }

  async #look({ pid, memoryMb, seat }: SoakNode): Promise<void> {
    if (pid === undefined) return
    const seenMb = await residentMb(pid)
    const known = this.#log.memory.find((one) => one.pid === pid)
    if (known === undefined) this.#log.memory.push({ who: seat.name, pid, peakMb: seenMb, limitMb: memoryMb })
    else known.peakMb = Math.max(known.peakMb, seenMb)
  }
}
