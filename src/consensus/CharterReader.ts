/**
 * The charter of a copy and the terms under it, read again only when its stamp has changed.
 */
import { Charter } from '../common/Charter.js'
import { Terms } from '../common/Terms.js'
import type { ReplicaTable } from './ReplicaTable.js'

export class CharterReader {
  charter: Charter | undefined
  #terms: Map<string, Terms> | undefined
  #stamp = -1

  follow(copy: ReplicaTable): void {
    const stamp = copy.stampOf('charter')
    if (stamp === this.#stamp) return
    this.#stamp = stamp
    this.#terms = undefined
    const read = Charter.check(JSON.parse(copy.get('charter') ?? 'null'))
    this.charter = read.toMaybe().extractNullable() ?? undefined
  }

  get terms(): ReadonlyMap<string, Terms> {
    this.#terms ??= this.charter === undefined ? new Map<string, Terms>() : Terms.of(this.charter)
    return this.#terms
  }
}
