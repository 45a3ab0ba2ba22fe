/**
 * The length of a batch in a log file, heads included.
 */
import { RecordHead } from './RecordHead.js'

export function batchLength(records: readonly Uint8Array[]): number {
  return records.reduce((sum, record) => sum + RecordHead.size + record.length, 0)
}
