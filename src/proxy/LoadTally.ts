/**
 * What a proxy reports of its load: arrivals since the last report, requests that wait, and requests in flight, each by model
 * and adapter.
 */
import type { RequestState } from './RequestState.js'

interface Held {
  model: string
  adapter: string
  count: number
  dueInMs: number
}
interface Flights {
  server: string
  model: string
  adapter: string
  count: number
}
interface Arrivals {
  model: string
  adapter: string
  count: number
  agoMs: number
}

export class LoadTally {
  readonly #arrivals = new Map<string, { model: string; adapter: string; count: number; lastMs: number }>()

  arrived(target: RequestState['target'], nowMs: number): void {
    if (target.kind !== 'model') return
    const key = `${target.name}/${target.adapter}`
    const seen = this.#arrivals.get(key)
    if (seen === undefined) this.#arrivals.set(key, { model: target.name, adapter: target.adapter, count: 1, lastMs: nowMs })
    else {
      seen.count += 1
      seen.lastMs = nowMs
    }
  }

  /** The report of now; arrivals are counted anew after it. Requests that wait count only for models that `known` names. */
  take(
    requests: Iterable<RequestState>,
    known: (model: string) => boolean,
    nowMs: number,
  ): { arrivals: Arrivals[]; held: Held[]; flights: Flights[] } {
    const held = new Map<string, Held>()
    const flights = new Map<string, Flights>()
    for (const { target, phase, server, dueMs } of requests) {
      if (target.kind !== 'model') continue
      const { name, adapter } = target
      if (phase === 'held' && known(name)) {
        const key = `${name}/${adapter}`
        const old = held.get(key) ?? { model: name, adapter, count: 0, dueInMs: Infinity }
        held.set(key, { ...old, count: old.count + 1, dueInMs: Math.min(old.dueInMs, dueMs - nowMs) })
      } else if (server !== '') {
        const key = `${server} ${name}/${adapter}`
        const old = flights.get(key) ?? { server, model: name, adapter, count: 0 }
        flights.set(key, { ...old, count: old.count + 1 })
      }
    }
    const arrivals = [...this.#arrivals.values()].map(({ model, adapter, count, lastMs }) => ({
      model,
      adapter,
      count,
      agoMs: nowMs - lastMs,
    }))
    this.#arrivals.clear()
    return { arrivals, held: [...held.values()], flights: [...flights.values()] }
  }
}
