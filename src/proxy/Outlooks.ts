/**
 * What the dispatcher last estimated for the models that requests wait for: when a copy is likely ready, and before when there
 * certainly is none. An estimate is dropped once it is older than a lease.
 */
import type { RequestState } from './RequestState.js'

interface Outlook {
  heardMs: number
  readyAtMs: number
  neverBeforeMs: number
}
interface Estimate {
  model: string
  adapter: string
  readyInMs: number
  neverBeforeMs: number
}

export class Outlooks {
  readonly #keptMs: number
  readonly #table = new Map<string, Outlook>()

  constructor(keptMs: number) {
    this.#keptMs = keptMs
  }

  take(estimates: readonly Estimate[], nowMs: number): void {
    for (const { model, adapter, readyInMs, neverBeforeMs } of estimates)
      this.#table.set(`${model}/${adapter}`, { heardMs: nowMs, readyAtMs: nowMs + readyInMs, neverBeforeMs: nowMs + neverBeforeMs })
  }

  of(target: RequestState['target'], nowMs: number): Outlook | undefined {
    const outlook = target.kind === 'model' ? this.#table.get(`${target.name}/${target.adapter}`) : undefined
    return outlook !== undefined && nowMs - outlook.heardMs < this.#keptMs ? outlook : undefined
  }
}
