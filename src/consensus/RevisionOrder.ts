/**
 * Rows in the order of the revisions that set them, so that what came after a revision is found without a
 * look at what came before. A row that was replaced stays in the list until the list is swept.
 */
import type { Row } from './Row.js'

const sweptFrom = 64

export class RevisionOrder {
  #rows: Row[] = []
  #sorted = true

  /** Takes in a row that was set; `live` gives the row in force for a key, and how many there are. */
  add(row: Row, live: ReadonlyMap<string, Row>): void {
    const last = this.#rows.at(-1)
    if (last !== undefined && last.stamp > row.stamp) this.#sorted = false
    this.#rows.push(row)
    if (this.#rows.length > sweptFrom && this.#rows.length > 2 * live.size) this.#sweep(live)
  }

  since(stamp: number, live: ReadonlyMap<string, Row>): Row[] {
    if (!this.#sorted) this.#sweep(live)
    let from = this.#rows.length
    while (from > 0 && (this.#rows[from - 1]?.stamp ?? 0) > stamp) from -= 1
    return this.#rows.slice(from).filter((row) => live.get(row.key) === row)
  }

  #sweep(live: ReadonlyMap<string, Row>): void {
    this.#rows = this.#rows.filter((row) => live.get(row.key) === row)
    if (!this.#sorted) this.#rows.sort((a, b) => a.stamp - b.stamp)
    this.#sorted = true
  }
}
