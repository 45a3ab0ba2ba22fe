/**
 * The one sequence of entries that all nodes must apply, and the state that it adds up to, reckoned beside
 * the nodes. Role epochs are followed by a model of their own: an epoch is the index of the entry that gave
 * the role, has one holder for good, ends by a `vacate` that names it, and orders count under it alone.
 */
import { Command } from '../../consensus/Command.js'
import type { Entry } from '../../consensus/Entry.js'
import { ReplicatedState } from '../../consensus/ReplicatedState.js'
import { Breach } from './Breach.js'
import type { ClusterParts } from './ClusterParts.js'

interface Agreed {
  entry: Entry
  /** The leader's term when the entry was first seen committed. */
  committedIn: number
  digests: string
}
const role = 'dispatcher'

export class AgreedLog {
  readonly #parts: ClusterParts
  readonly #agreed: Agreed[] = []
  readonly #state: ReplicatedState
  readonly #saved = new Map<number, string>()
  readonly #orders = new Map<string, string>()
  #holder = ''
  #epoch = 0
  #vacancy = 0

  constructor(parts: ClusterParts) {
    this.#parts = parts
    this.#state = parts.emptyState()
  }

  get lastIndex(): number {
    return this.#agreed.length
  }

  termAt(index: number): number {
    return this.#agreed[index - 1]?.entry.term ?? 0
  }

  /** The highest index that was committed in a term before this one. */
  committedBefore(term: number): number {
    return this.#agreed.findLastIndex((one) => one.committedIn < term) + 1
  }

  /** The index of the last membership that is committed. */
  get membersIndex(): number {
    return this.#agreed.findLastIndex((one) => one.entry.type === 'members') + 1
  }

  /** A node applied an entry: it is the agreed one, or the next that becomes agreed. */
  applied(who: string, entry: Entry, term: number): void {
    const known = this.#agreed[entry.index - 1]
    if (known === undefined) {
      if (entry.index !== this.lastIndex + 1)
        throw new Breach('state-machine safety', `${who} applied ${String(entry.index)} where ${String(this.lastIndex + 1)} is next`)
      this.#extend(entry, term)
      return
    }
    const same = known.entry === entry || (known.entry.term === entry.term && Buffer.compare(known.entry.bytes, entry.bytes) === 0)
    if (!same)
      throw new Breach(
        'state-machine safety',
        `${who} applied at ${String(entry.index)} an entry of term ${String(entry.term)}, others one of ${String(known.entry.term)}`,
      )
  }

  /** A node's state after an index must be what the sequence adds up to there. */
  compare(who: string, index: number, state: ReplicatedState): void {
    if (index > 0 && state.copy.digests.join() !== this.#agreed[index - 1]?.digests)
      throw new Breach('state-machine safety', `the state of ${who} after ${String(index)} is not what the entries add up to`)
  }

  /** A snapshot must be what the sequence adds up to at its index. */
  compareSaved(who: string, index: number, saved: Uint8Array): void {
    if (index > this.lastIndex)
      throw new Breach('state-machine safety', `${who} has a snapshot of ${String(index)}, which nobody has committed`)
    if (AgreedLog.#ordered(saved) !== this.#savedAt(index))
      throw new Breach('state-machine safety', `the snapshot of ${who} at ${String(index)} is not what the entries add up to`)
  }

  /** The fields of a saved row may stand in any order; read and saved again they stand in one. */
  static #ordered(saved: Uint8Array): string {
    return Buffer.from(ReplicatedState.restore(saved).save()).toString()
  }

  #savedAt(index: number): string {
    const known = this.#saved.get(index)
    if (known !== undefined) return known
    const state = this.#parts.emptyState()
    for (const { entry } of this.#agreed.slice(0, index)) if (entry.type === 'command') state.apply(entry.index, entry.bytes)
    const saved = AgreedLog.#ordered(state.save())
    this.#saved.set(index, saved)
    return saved
  }

  #extend(entry: Entry, term: number): void {
    if (entry.type === 'command') {
      this.#state.apply(entry.index, entry.bytes)
      this.#followRole(entry)
    }
    this.#agreed.push({ entry, committedIn: term, digests: this.#state.copy.digests.join() })
  }

  #followRole(entry: Entry): void {
    const command = Command.decode(entry.bytes)
    if (command?.kind === 'duty' && this.#holder === '' && command.vacancy === this.#vacancy) {
      this.#holder = command.holder
      this.#epoch = entry.index
    } else if (command?.kind === 'vacate' && this.#holder !== '' && command.epoch === this.#epoch) {
      this.#holder = ''
      this.#vacancy = entry.index
    } else if (command?.kind === 'dispatch' && this.#holder !== '' && command.epoch === this.#epoch) {
      for (const row of command.rows) this.#orders.set(row.key, row.value)
    }
    const duty = this.#state.duty(role)
    if ((duty?.holder ?? '') !== this.#holder || (duty !== undefined && duty.epoch !== this.#epoch))
      throw new Breach(
        'fencing',
        `after ${String(entry.index)} the role is with "${duty?.holder ?? ''}", by its epochs with "${this.#holder}"`,
      )
    for (const [key, value] of this.#orders)
      if (this.#state.copy.get(key) !== value)
        throw new Breach('fencing', `after ${String(entry.index)} ${key} was set under an epoch that does not hold the role`)
  }
}
