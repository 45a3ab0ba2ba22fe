/**
 * The leader's copy of the platform's server list: it asks for the list at even intervals and puts to the log what
 * differs from the replicated table.
 */
import { PlatformServer } from '../common/PlatformServer.js'
import type { ControlContext } from './ControlContext.js'

/** The age of a list that was never read. */
const neverReadMs = 1e9

export class ServerListSync {
  readonly #context: ControlContext
  #askAtMs = -Infinity
  /** When the platform's list was asked for that the table was last found to equal. */
  #freshMs = -Infinity
  #lastProposed = ''

  constructor(context: ControlContext) {
    this.#context = context
  }

  /** A new leader has compared no list with the table. */
  begin(): void {
    this.#freshMs = -Infinity
  }

  /** How long ago the table surely equalled the platform's list. */
  ageMs(nowMs: number): number {
    return Math.min(nowMs - this.#freshMs, neverReadMs)
  }

  /** The leader's tick. */
  askIfDue(nowMs: number): void {
    if (nowMs < this.#askAtMs) return
    this.#askAtMs = nowMs + this.#context.timings.platformMs
    this.#context.emit({ kind: 'askPlatform', askedMs: nowMs })
  }

  /** The platform listed its servers. */
  listed(servers: readonly PlatformServer[], nowMs: number): void {
    const { raft, leading, timings } = this.#context
    if (!leading || !raft.settled) return
    const text = this.#textOf(servers)
    const isSame = this.#tableHolds(text)
    if (isSame) this.#freshMs = this.#askAtMs - timings.platformMs
    const isUnderWay = text === this.#lastProposed && raft.commit < raft.lastIndex
    if (isSame || isUnderWay) return
    this.#lastProposed = text
    this.#context.propose({ kind: 'platform', servers: text }, nowMs)
  }

  /** The list as it goes to the log: by name, and in a network without the models that servers hold. */
  #textOf(full: readonly PlatformServer[]): string {
    const withoutModels = (one: PlatformServer) => PlatformServer.safeParse({ ...one, models: undefined }).data ?? []
    const servers = this.#context.isNetwork ? full.flatMap(withoutModels) : full
    return JSON.stringify([...servers].sort((a, b) => (a.name < b.name ? -1 : 1)))
  }

  /** True if the table holds just these servers. Rows as this release writes them are compared as they stand. */
  #tableHolds(text: string): boolean {
    const rows = this.#context.replicatedState.copy.under('server/').map(([, value]) => value)
    if (text === `[${rows.join(',')}]`) return true
    return text === JSON.stringify(rows.map((value) => PlatformServer.parse(JSON.parse(value))))
  }
}
