/**
 * The rules that a run breaks on purpose, so that the invariant checker is seen to find it: what passes between processes
 * is altered on its way.
 */
import type { Report } from '../common/Report.js'
import type { Message } from '../transport/Message.js'

const endlessMs = 1e9

export class SimSabotage {
  readonly #broken: string

  /** `broken` names the rule; none, if empty. */
  constructor(broken: string) {
    this.#broken = broken
  }

  /** A server's report to the scheduler. */
  report(report: Report): Report {
    if (this.#broken === 'room') return { ...report, models: report.models.map((one) => ({ ...one, sizeMb: 0 })) }
    if (this.#broken !== 'flights') return report
    return {
      ...report,
      models: report.models.map((one) => ({ ...one, flights: 0 })),
      adapters: report.adapters.map((one) => ({ ...one, flights: 0 })),
    }
  }

  /** A message to a control node: a stale renewal seems to echo a lease of this moment. */
  toControlNode(message: Message, leaseTerm: number, leaseGrantedMs: number): Message {
    if (this.#broken !== 'staleRenewals' || message.kind !== 'renew') return message
    return { ...message, leaseTerm, leaseGrantedMs }
  }

  /** A message from an agent: its load report leaves out what runs. */
  fromAgent(message: Message): Message {
    return this.#broken === 'flights' && message.kind === 'tally' ? { ...message, flights: [] } : message
  }

  /** A message to a proxy; `hurt` is true once a fault has begun. */
  toProxy(message: Message, hurt: boolean): Message {
    if (message.kind === 'permit' && this.#broken === 'lease') return { ...message, forMs: endlessMs }
    if (message.kind === 'permit' && this.#broken === 'recovery' && hurt) return { ...message, forMs: 0 }
    if (this.#broken === 'emptied' && (message.kind === 'news' || message.kind === 'mend')) {
      const bent = (value: string) => value.replaceAll('"emptied":true', '"emptied":false')
      return { ...message, rows: message.rows.map((row) => (row.key === 'charter' ? { ...row, value: bent(row.value) } : row)) }
    }
    return message
  }
}
