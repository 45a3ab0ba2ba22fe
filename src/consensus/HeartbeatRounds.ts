/**
 * The rounds of heartbeats that a leader sends, numbered from 1. A round that a majority answered shows that no other
 * leader was elected before it was sent: it confirms the leader, and the reads that wait for it.
 *
 * Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4 (read-index).
 */
interface WaitingRead {
  id: string
  /** What was committed when the read came in; it is answered from no less. */
  index: number
  round: number
}

export class HeartbeatRounds {
  #newest = 0
  readonly #sentMs = new Map<number, number>()
  #confirmedMs = -Infinity
  #reads: WaitingRead[] = []

  get newest(): number {
    return this.#newest
  }

  /** When the newest round was sent that a majority answered. */
  get confirmedMs(): number {
    return this.#confirmedMs
  }

  /** A new leader has no round confirmed; numbers go on, so that answers to earlier rounds confirm none of its own. */
  begin(): void {
    this.#confirmedMs = -Infinity
    this.#sentMs.clear()
  }

  send(nowMs: number): void {
    this.#newest += 1
    this.#sentMs.set(this.#newest, nowMs)
  }

  /** A majority has answered this round. */
  confirm(round: number): void {
    const sentMs = this.#sentMs.get(round)
    if (sentMs === undefined) return
    this.#confirmedMs = Math.max(this.#confirmedMs, sentMs)
    for (const older of this.#sentMs.keys()) if (older < round) this.#sentMs.delete(older)
  }

  /** A read waits for the newest round, and until `index` is applied. */
  wait(id: string, index: number): void {
    this.#reads.push({ id, index, round: this.#newest })
  }

  /** The reads that may be answered now. */
  readable(round: number, applied: number): string[] {
    const ready = this.#reads.filter((read) => read.round <= round && read.index <= applied)
    if (ready.length > 0) this.#reads = this.#reads.filter((read) => !ready.includes(read))
    return ready.map((read) => read.id)
  }

  /** The reads that a lost leadership leaves unanswered. */
  dropReads(): string[] {
    const dropped = this.#reads.map((read) => read.id)
    this.#reads = []
    return dropped
  }
}
