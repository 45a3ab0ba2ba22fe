/**
 * The charter of a copy and the terms under it, read again only when its stamp has changed.
 */
import { strictEqual } from 'node:assert'
import { Charter } from '../gauge/Charter.js'
import { proof } from '../gauge/proof.js'
import { sampleDefaults } from '../gauge/sampleDefaults.js'
import { Terms } from '../gauge/Terms.js'
import type { Copy } from './Copy.js'
import { Copy as Copies } from './Copy.js'

export class CharterReader {
  charter: Charter | undefined
  #terms: Map<string, Terms> | undefined
  #stamp = -1

  follow(copy: Copy): void {
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

proof(import.meta.url, {
  'charter and terms follow the copy, and there are none before the first': () => {
    const copy = new Copies()
    const reader = new CharterReader()
    reader.follow(copy)
    strictEqual(reader.charter, undefined)
    strictEqual(reader.terms.size, 0)
    const put = (stamp: number, models: object) => {
      const tree = {
        defaults: sampleDefaults,
        partners: { c: { models } },
        fleet: { servers: { s: { kind: 'model', roomMb: 9 } }, storePaceMbPerS: 1, storeBurstMb: 9 },
      }
      copy.set({ key: 'charter', stamp, gone: false, value: JSON.stringify(tree) })
      reader.follow(copy)
    }
    put(1, { one: { sizeMb: 1 } })
    strictEqual(reader.terms.has('model one'), true)
    put(2, { two: { sizeMb: 1 } })
    strictEqual([...reader.terms.keys()].join(), 'model two')
  },
})
