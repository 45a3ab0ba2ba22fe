/**
 * What became of a gateway's requests since its start, as plain counts: nothing is kept of a single request, and
 * the metrics' library is not needed until somebody asks.
 */
import { RefusalReason } from './RefusalReason.js'

type Outcome = 'served' | 'refused' | 'broken_off' | 'caller_gone'
interface Sample {
  labels: Record<string, string>
  value: number
}

function raise<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

function samples(counts: ReadonlyMap<string, number>, label: string): Sample[] {
  return [...counts].map(([key, value]) => ({ labels: { [label]: key }, value }))
}

export class GatewayCounts {
  readonly #answers = new Map<Outcome, Map<number, number>>()
  readonly #refusals = new Map<RefusalReason, number>()
  readonly #attempts = new Map<'first' | 'further', number>()

  /** An answer of a server went to the caller to its end. */
  served(status: number): void {
    this.#answered('served', status)
  }

  /** The gateway gave the final answer itself. */
  refused(status: number, why: string): void {
    this.#answered('refused', status)
    raise(this.#refusals, RefusalReason.of(why))
  }

  /** An answer that had begun was cut. */
  brokenOff(): void {
    this.#answered('broken_off', 0)
  }

  callerGone(): void {
    this.#answered('caller_gone', 0)
  }

  /** A request is tried at a server, for the first time or once more. */
  attempted(attempt: number): void {
    raise(this.#attempts, attempt > 1 ? 'further' : 'first')
  }

  /** By outcome and status; the status is empty where no whole answer was given. */
  get requests(): Sample[] {
    return [...this.#answers].flatMap(([outcome, statuses]) =>
      [...statuses].map(([status, value]) => ({ labels: { outcome, status: status === 0 ? '' : String(status) }, value })),
    )
  }

  get refusals(): Sample[] {
    return samples(this.#refusals, 'reason')
  }

  get attempts(): Sample[] {
    return samples(this.#attempts, 'kind')
  }

  #answered(outcome: Outcome, status: number): void {
    const statuses = this.#answers.get(outcome) ?? new Map<number, number>()
    this.#answers.set(outcome, statuses)
    raise(statuses, status)
  }
}
