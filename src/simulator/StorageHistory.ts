/**
 * What a log may hold when it is opened: everything that was acknowledged, in order, and then a prefix of
 * what was in flight. Records are told apart by their text.
 */
interface Operation {
  readonly kind: 'append' | 'rewrite'
  readonly records: readonly string[]
}

function same(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((one, index) => one === right[index])
}

export class StorageHistory {
  #acknowledged: readonly string[] = []
  #inFlight: Operation[] = []

  /** Notes a call to the log; the answer notes that its promise resolved. */
  begin(operation: Operation): () => void {
    this.#inFlight.push(operation)
    return () => {
      const at = this.#inFlight.indexOf(operation)
      for (const done of this.#inFlight.splice(0, at + 1)) this.#acknowledged = this.#after(this.#acknowledged, done)
    }
  }

  /** What is wrong with the records of a log that was opened; they are what counts from then on. */
  opened(records: readonly string[]): string | undefined {
    const allowed = this.#isAllowed(records)
    const expected = this.#acknowledged.length
    this.#acknowledged = records
    this.#inFlight = []
    return allowed ? undefined : `${String(records.length)} records do not hold the ${String(expected)} acknowledged and a prefix in flight`
  }

  #isAllowed(records: readonly string[]): boolean {
    let whole = this.#acknowledged
    if (same(records, whole)) return true
    for (const operation of this.#inFlight) {
      const from = operation.kind === 'append' ? 1 : operation.records.length
      for (let kept = from; kept <= operation.records.length; kept++)
        if (same(records, this.#after(whole, { ...operation, records: operation.records.slice(0, kept) }))) return true
      whole = this.#after(whole, operation)
    }
    return false
  }

  #after(before: readonly string[], { kind, records }: Operation): readonly string[] {
    return kind === 'append' ? [...before, ...records] : records
  }
}
