/**
 * How many second tries a service may still get from this turnout: a ratio of the first tries, plus
 * this turnout's share of the allowance.
 */
import { strictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'

export class Budget {
  #tokens: number | undefined

  first(ratio: number, share: number): void {
    this.#tokens = Math.min((this.#tokens ?? share) + ratio, Math.max(share, 1))
  }

  again(share: number): boolean {
    const tokens = this.#tokens ?? share
    if (tokens < 1) return false
    this.#tokens = tokens - 1
    return true
  }
}

proof(import.meta.url, {
  'second tries stay under the ratio plus the share': () => {
    const budget = new Budget()
    let again = 0
    for (let n = 0; n < 1000; n++) {
      budget.first(0.2, 2)
      if (budget.again(2)) again += 1
    }
    strictEqual(again <= 202 && again >= 195, true)
  },
})
