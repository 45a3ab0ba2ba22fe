/**
 * Applies the orders that empty a zone or fill it again, each of which states the log index that its node
 * had applied when the order came in, its basis.
 *
 * An order that is acknowledged always sets the zone's row under its own index, also where the zone already
 * is as ordered, and an order that would change the zone does so only if its basis reaches the row's stamp.
 * So every copy of any order that came in before an acknowledged one was applied does nothing any more.
 * `since` is when the zone became as it is: a repeat waits for those who must adopt that, not for its own row.
 */
import { z } from 'zod'
import type { Outcome } from './Outcome.js'
import type { ReplicaTable } from './ReplicaTable.js'

const Saved = z.array(z.tuple([z.string(), z.number()]))
interface ZoneOrder {
  readonly zone: string
  readonly emptied: boolean
  readonly basis: number
}

export class ZoneOrders {
  static readonly Saved = Saved
  readonly #since = new Map<string, number>()

  apply(index: number, { zone, emptied, basis }: ZoneOrder, table: ReplicaTable): Outcome {
    const key = `zone/${zone}`
    const stamp = table.stampOf(key)
    const changes = (table.get(key) !== undefined) !== emptied
    if (changes && basis < stamp) return { status: 503, stamp, errors: [`${zone}: a newer order was carried out meanwhile`] }
    table.set({ key, stamp: index, gone: !emptied, value: emptied ? '{"emptied":true}' : '' })
    if (changes) this.#since.set(zone, index)
    return { status: 200, stamp: this.#since.get(zone) ?? 0, errors: [] }
  }

  save(): z.infer<typeof Saved> {
    return [...this.#since]
  }

  restore(saved: z.infer<typeof Saved>): void {
    for (const [zone, since] of saved) this.#since.set(zone, since)
  }
}
