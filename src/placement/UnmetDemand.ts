/**
 * The models and adapters that requests asked for while no server held them: since when, how often and why they are
 * not being loaded. An entry outlives the request that made it, so that a request which was refused is remembered. It
 * ends once a server holds the model, or when nobody has asked for a while.
 */
import type { UnmetReason } from './UnmetReason.js'

interface UnmetEntry {
  sinceMs: number
  lastAskedMs: number
  requests: number
  reason: UnmetReason | undefined
}

/** How long after its last request an entry is forgotten. */
const forgetMs = 15_000

export class UnmetDemand {
  readonly #entries = new Map<string, UnmetEntry>()

  get size(): number {
    return this.#entries.size
  }

  get entries(): ReadonlyMap<string, UnmetEntry> {
    return this.#entries
  }

  /** Requests asked for a model or adapter that no server holds. */
  asked(key: string, count: number, atMs: number): void {
    const entry = this.#entries.get(key)
    if (entry === undefined) {
      this.#entries.set(key, { sinceMs: atMs, lastAskedMs: atMs, requests: count, reason: undefined })
      return
    }
    entry.lastAskedMs = Math.max(entry.lastAskedMs, atMs)
    entry.requests += count
  }

  /** Says why a model is not being loaded now. */
  blocked(key: string, reason: UnmetReason): void {
    const entry = this.#entries.get(key)
    if (entry !== undefined) entry.reason = reason
  }

  /** Ends the entries of what some server holds, and of what nobody has asked for lately. */
  settle(isHeld: (key: string) => boolean, nowMs: number): void {
    for (const [key, entry] of this.#entries) {
      if (isHeld(key) || nowMs - entry.lastAskedMs > forgetMs) this.#entries.delete(key)
    }
  }

  oldestMs(nowMs: number): number {
    let oldestMs = 0
    for (const entry of this.#entries.values()) oldestMs = Math.max(oldestMs, nowMs - entry.sinceMs)
    return oldestMs
  }

  /** How many entries are not being loaded for a reason. */
  count(reason: UnmetReason): number {
    let count = 0
    for (const entry of this.#entries.values()) if (entry.reason === reason) count += 1
    return count
  }
}
