/**
 * The weight store's pace as a bucket that fills with time. It starts empty, so that a new dispatcher
 * cannot spend again what its predecessor has just spent.
 */
import { strictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'

export class Bucket {
  #level = 0
  #atMs: number

  constructor(nowMs: number) {
    this.#atMs = nowMs
  }

  take(amount: number, perS: number, burst: number, nowMs: number): boolean {
    this.#level = Math.min(burst, this.#level + ((nowMs - this.#atMs) * perS) / 1000)
    this.#atMs = nowMs
    if (this.#level < amount) return false
    this.#level -= amount
    return true
  }
}

proof(import.meta.url, {
  'nothing at first, the pace later, never more than the burst': () => {
    const bucket = new Bucket(0)
    strictEqual(bucket.take(1, 10, 20, 0), false)
    strictEqual(bucket.take(10, 10, 20, 1000), true)
    strictEqual(bucket.take(21, 10, 20, 100_000), false)
    strictEqual(bucket.take(20, 10, 20, 100_000), true)
    strictEqual(bucket.take(1, 10, 20, 100_000), false)
  },
})
