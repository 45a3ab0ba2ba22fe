/**
 * When a leader saw its newest log entries committed: those who serve by the table are given a bounded time from
 * then on to adopt an entry.
 */
const keptCommits = 4096

export class CommitTimes {
  readonly #committedMs = new Map<number, number>()
  #settledMs: number | undefined

  /** A new leader saw nothing of what was committed before. */
  begin(): void {
    this.#committedMs.clear()
    this.#settledMs = undefined
  }

  committed(index: number, nowMs: number): void {
    this.#committedMs.set(index, nowMs)
    const oldest = this.#committedMs.keys().next().value
    if (this.#committedMs.size > keptCommits && oldest !== undefined) this.#committedMs.delete(oldest)
  }

  /** An entry of the leader's own term is committed, and with it all that came before. */
  settled(nowMs: number): void {
    this.#settledMs ??= nowMs
  }

  /** Since when an entry is surely committed; undefined while the leader can't tell. */
  sinceMs(index: number): number | undefined {
    return this.#committedMs.get(index) ?? this.#settledMs
  }
}
