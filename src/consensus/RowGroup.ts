/**
 * The live rows under one prefix of the replica table, in the order of their names. The order is kept as rows
 * come and go, so that a change costs a search by halves and the list is made again only for who reads it.
 */
export class RowGroup {
  readonly #values = new Map<string, string>()
  readonly #names: string[] = []
  #listed: readonly [string, string][] | undefined

  get listed(): readonly [string, string][] {
    this.#listed ??= this.#names.map((name) => [name, this.#values.get(name) ?? ''])
    return this.#listed
  }

  set(name: string, value: string): void {
    this.#listed = undefined
    if (!this.#values.has(name)) this.#names.splice(this.#position(name), 0, name)
    this.#values.set(name, value)
  }

  remove(name: string): void {
    if (!this.#values.delete(name)) return
    this.#listed = undefined
    this.#names.splice(this.#position(name), 1)
  }

  /** Where the name stands, or would. */
  #position(name: string): number {
    let low = 0
    let high = this.#names.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.#names[middle] ?? '') < name) low = middle + 1
      else high = middle
    }
    return low
  }
}
