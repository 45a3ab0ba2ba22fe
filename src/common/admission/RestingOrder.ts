/**
 * Connections in the order in which they came to rest, that is, have no request under way: the one that has rested longest makes
 * way where there are too many.
 */
export class RestingOrder<Connection> {
  readonly #most: number
  readonly #all = new Set<Connection>()
  /** A set keeps the order in which its members came. */
  readonly #resting = new Set<Connection>()

  constructor(most: number) {
    this.#most = most
  }

  get size(): number {
    return this.#all.size
  }

  get all(): ReadonlySet<Connection> {
    return this.#all
  }

  /** Takes a new connection in, at rest; gives the one that is to be closed for it, which may be itself. */
  add(connection: Connection): Connection | undefined {
    this.#all.add(connection)
    this.#resting.add(connection)
    if (this.#all.size <= this.#most) return undefined
    const [longest = connection] = this.#resting
    this.delete(longest)
    return longest
  }

  /** The connection has a request under way. */
  begin(connection: Connection): void {
    this.#resting.delete(connection)
  }

  /** The connection has no request under way from now on. */
  rest(connection: Connection): void {
    if (!this.#all.has(connection)) return
    this.#resting.delete(connection)
    this.#resting.add(connection)
  }

  delete(connection: Connection): void {
    this.#all.delete(connection)
    this.#resting.delete(connection)
  }
}
