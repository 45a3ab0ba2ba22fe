/**
 * Reads the records of a log file and tells a torn tail from damage.
 *
 * A loss of power may keep, lose or tear each write since the last sync by itself, so a batch that was
 * not yet synced may lack any part and still hold a later one. What was synced is kept whole. The
 * records are read until the first place that is not a whole record in its turn, the break, and what
 * stands behind it decides:
 *
 * 1. The break is in the born bytes: they were synced before the file got its name. Damage.
 * 2. A valid head behind the break has a batch start behind the break too: the broken place was synced
 *    before that head was written. Damage.
 * 3. Every valid head behind the break has its batch start at the break or before it: they belong to the
 *    batch that the break tore, which no sync covered. The file is cut at the break; the records of
 *    the batch before the break stay, as a prefix of what was in flight.
 * 4. No valid head is behind the break: the break is in the last batch, at its start, in its middle or in its
 *    last record. Cut as in 3. Damage to the last batch after its sync looks the same and cannot be told.
 *
 * An opening cuts the tail, syncs what stays, and then writes a mark where the kept prefix ends and syncs
 * that too, before it gives the records to anyone. The mark vouches for the prefix (case 2 from then on), and the next
 * batch starts behind it. Offsets thus go on over an opening without anything to count. On a file system where a hole in a
 * file can show what stood there before, bytes of a lost tail may come back in a hole of a later batch, with heads
 * that are valid. None is taken for a record: the one that would follow the prefix is overwritten by the mark, and the
 * ones behind it name a batch start that neither the mark nor a later batch has. None is taken for proof of damage either, as
 * their batch starts are not behind the prefix. A rewritten file has an id of its own, so heads of the file before it are not valid
 * there, and offsets start anew.
 *
 * A search for heads behind the break looks at each offset once and reckons a checksum over 14 bytes only
 * where the batch start lies between the break and the offset: its time grows with the length of the file.
 */
import zlib from 'node:zlib'
import { LogHeader } from './LogHeader.js'
import { RecordHead } from './RecordHead.js'

/** `end` is where the whole records end. `damagedAt` is set when the place after them was synced. */
interface LogScan {
  readonly records: Buffer[]
  readonly end: number
  readonly damagedAt: number | undefined
}

/** Whether a head may stand at an offset, after one of the batch before it: a batch begins, or goes on. */
function isInTurn(head: RecordHead, at: number, batchBefore: number): boolean {
  return head.batchStart === at || head.batchStart === batchBefore
}

function provesSynced(file: Buffer, breakAt: number, seed: number): boolean {
  const lastAt = file.length - RecordHead.size
  for (let at = breakAt + 1; at <= lastAt; at++) {
    const batchStart = RecordHead.batchStartAt(file, at)
    if (batchStart > breakAt && batchStart <= at && RecordHead.read(file, at, seed) !== undefined) return true
  }
  return false
}

export function scanLog(file: Buffer, header: LogHeader): LogScan {
  const records: Buffer[] = []
  let at = LogHeader.size
  let batchStart = at
  for (;;) {
    const head = RecordHead.read(file, at, header.seed)
    if (head === undefined || !isInTurn(head, at, batchStart)) break
    const recordAt = at + RecordHead.size
    const record = file.subarray(recordAt, recordAt + head.length)
    if (record.length < head.length || zlib.crc32(record) !== head.checksum) break
    if (head.length > 0) records.push(record)
    batchStart = head.batchStart
    at = recordAt + head.length
  }
  const damaged = at < header.bornBytes || provesSynced(file, at, header.seed)
  return { records, end: at, damagedAt: damaged ? at : undefined }
}
