/**
 * What the leader has lent this turnout of the limits that all turnouts share. It dies with the
 * licence that it rode on; a permit from other seats does not renew it.
 */
import { strictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'

export class Lent {
  serial = 0
  #untilMs = -Infinity
  #counts = new Map<string, number>()

  take(serial: number, untilMs: number, shares: readonly { key: string; count: number }[]): void {
    if (serial < this.serial) return
    this.serial = serial
    this.#untilMs = untilMs
    this.#counts = new Map(shares.map((one) => [one.key, one.count]))
  }

  of(key: string, nowMs: number): number {
    return nowMs < this.#untilMs ? (this.#counts.get(key) ?? 0) : 0
  }
}

proof(import.meta.url, {
  'a share is counted until its licence ends, and an older grant changes nothing': () => {
    const lent = new Lent()
    lent.take(5, 100, [{ key: 'serve/s', count: 3 }])
    lent.take(4, 900, [{ key: 'serve/s', count: 9 }])
    strictEqual(lent.of('serve/s', 99), 3)
    strictEqual(lent.of('serve/s', 100), 0)
    strictEqual(lent.of('serve/t', 1), 0)
  },
})
