/**
 * A copy of the shared table: the core's own, or one further down the relay tree. It takes over what
 * is newer, gives what came since a stamp, and sums itself up in digests over ranges of keys, so that
 * two copies at the same stamp find where they differ and the newer row mends the older.
 */
import { digest } from '../common/digest.js'
import { RevisionOrder } from './RevisionOrder.js'
import type { Row } from './Row.js'
import { RowGroup } from './RowGroup.js'

const ranges = 16
const modulus = 2 ** 48

export class ReplicaTable {
  stamp = 0
  readonly #rows = new Map<string, Row>()
  /** Live rows by the first part of their key, with its slash. */
  readonly #groups = new Map<string, RowGroup>()
  readonly #order = new RevisionOrder()
  readonly #digests = Array.from({ length: ranges }, () => 0)

  static range(key: string): number {
    return digest(key) % ranges
  }

  get(key: string): string | undefined {
    const row = this.#rows.get(key)
    return row === undefined || row.gone ? undefined : row.value
  }

  stampOf(key: string): number {
    return this.#rows.get(key)?.stamp ?? 0
  }

  /** The live rows under a prefix, as [rest of the key, value]; at hand where it is the first part of keys with its slash. */
  under(prefix: string): readonly [string, string][] {
    if (prefix !== '' && prefix.indexOf('/') === prefix.length - 1) return this.#groups.get(prefix)?.listed ?? []
    const found: [string, string][] = []
    for (const row of this.#rows.values())
      if (!row.gone && row.key.startsWith(prefix)) found.push([row.key.slice(prefix.length), row.value])
    return found.sort(([a], [b]) => (a < b ? -1 : 1))
  }

  /** The rows that were set or taken away after a revision, in the order of revisions. */
  since(stamp: number): Row[] {
    return stamp >= this.stamp ? [] : this.#order.since(stamp, this.#rows)
  }

  inRange(range: number): Row[] {
    return [...this.#rows.values()].filter((row) => ReplicaTable.range(row.key) === range)
  }

  get digests(): number[] {
    return [...this.#digests]
  }

  /** Sets a row, unless the copy holds the same or a newer one. */
  set(row: Row): boolean {
    const old = this.#rows.get(row.key)
    if (old !== undefined && old.stamp >= row.stamp) return false
    this.#replace(old, row)
    if (row.stamp > this.stamp) this.stamp = row.stamp
    return true
  }

  /** Takes over a delta that starts no later than this copy ends; gives the rows that changed. */
  adopt(since: number, stamp: number, rows: readonly Row[]): Row[] {
    if (since > this.stamp) return []
    const changed = rows.filter((row) => this.set(row))
    if (stamp > this.stamp) this.stamp = stamp
    return changed
  }

  /** Takes over a whole range from a copy at the same stamp: rows that differ there are replaced. */
  mend(range: number, rows: readonly Row[]): Row[] {
    const theirs = new Map(rows.filter((row) => ReplicaTable.range(row.key) === range).map((row) => [row.key, row]))
    const changed: Row[] = []
    for (const row of theirs.values()) {
      const old = this.#rows.get(row.key)
      if (old?.stamp === row.stamp && old.gone === row.gone && old.value === row.value) continue
      if (old !== undefined && old.stamp > row.stamp) continue
      this.#replace(old, row)
      changed.push(row)
    }
    return changed
  }

  dump(): Row[] {
    return [...this.#rows.values()]
  }

  #replace(old: Row | undefined, row: Row): void {
    if (old !== undefined) this.#fold(old, -1)
    this.#rows.set(row.key, row)
    this.#fold(row, 1)
    this.#order.add(row, this.#rows)
    const cut = row.key.indexOf('/') + 1
    if (cut === 0) return
    const prefix = row.key.slice(0, cut)
    const group = this.#groups.get(prefix) ?? new RowGroup()
    this.#groups.set(prefix, group)
    if (row.gone) group.remove(row.key.slice(cut))
    else group.set(row.key.slice(cut), row.value)
  }

  #fold(row: Row, sign: number): void {
    const range = ReplicaTable.range(row.key)
    const sum = digest(`${row.key}\n${String(row.stamp)}\n${String(row.gone)}\n${row.value}`)
    const mixed = ((this.#digests[range] ?? 0) + sign * (sum % modulus)) % modulus
    this.#digests[range] = mixed < 0 ? mixed + modulus : mixed
  }
}
