/**
 * A binary max-heap.
 */

export class Heap<T> {
  readonly #items: T[] = []
  readonly #compare: (a: T, b: T) => number

  constructor(compare: (a: T, b: T) => number) {
    this.#compare = compare
  }

  push(item: T): void {
    this.#items.push(item)
    let at = this.#items.length - 1
    while (at > 0) {
      const up = (at - 1) >> 1
      if (!this.#above(at, up)) break
      this.#swap(at, up)
      at = up
    }
  }

  pop(): T | undefined {
    const top = this.#items[0]
    const last = this.#items.pop()
    if (last === undefined || this.#items.length === 0) return top
    this.#items[0] = last
    let at = 0
    for (;;) {
      const left = 2 * at + 1
      const better = left + 1 < this.#items.length && this.#above(left + 1, left) ? left + 1 : left
      if (better >= this.#items.length || !this.#above(better, at)) return top
      this.#swap(at, better)
      at = better
    }
  }

  #above(a: number, b: number): boolean {
    const one = this.#items[a]
    const other = this.#items[b]
    return one !== undefined && other !== undefined && this.#compare(one, other) > 0
  }

  #swap(a: number, b: number): void {
    const one = this.#items[a]
    const other = this.#items[b]
    if (one === undefined || other === undefined) return
    this.#items[a] = other
    this.#items[b] = one
  }
}
