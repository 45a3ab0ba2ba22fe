/**
 * The bytes of a batch: the records that are written together, before one sync. It starts at an offset of
 * its file before which everything is synced.
 */
import zlib from 'node:zlib'
import { batchLength } from './batchLength.js'
import { RecordHead } from './RecordHead.js'

export function encodeBatch(records: readonly Uint8Array[], batchStart: number, seed: number): Buffer {
  const bytes = Buffer.allocUnsafe(batchLength(records))
  let at = 0
  for (const record of records) {
    RecordHead.write(bytes, at, { length: record.length, batchStart, checksum: zlib.crc32(record) }, seed)
    bytes.set(record, at + RecordHead.size)
    at += RecordHead.size + record.length
  }
  return bytes
}
