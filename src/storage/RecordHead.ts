/**
 * The bytes before each record in a log file.
 *
 *     offset  bytes  field
 *     0       4      length of the record; zero for a mark
 *     4       6      batch start: the offset of the first record that was written for the same sync
 *     10      4      CRC-32 of the record
 *     14      4      CRC-32 of the fields before, started from the checksum of the file's header
 *
 * A batch is written only once everything before its start was synced. A valid head therefore proves
 * that all bytes before its batch start once survived any loss of power.
 *
 * A mark is a head alone, in a batch of its own: each opening of a file puts one after what it read.
 */
import zlib from 'node:zlib'

const size = 18
const offsets = { batchStart: 4, recordChecksum: 10, headChecksum: 14 } as const
const batchStartWidth = 6

export interface RecordHead {
  readonly length: number
  readonly batchStart: number
  readonly checksum: number
}

export const RecordHead = {
  size,

  write(file: Buffer, at: number, head: RecordHead, seed: number): void {
    file.writeUInt32BE(head.length, at)
    file.writeUIntBE(head.batchStart, at + offsets.batchStart, batchStartWidth)
    file.writeUInt32BE(head.checksum, at + offsets.recordChecksum)
    file.writeUInt32BE(zlib.crc32(file.subarray(at, at + offsets.headChecksum), seed), at + offsets.headChecksum)
  },

  /** The batch start told at an offset, valid or not: what a search compares before any checksum. */
  batchStartAt(file: Buffer, at: number): number {
    return file.readUIntBE(at + offsets.batchStart, batchStartWidth)
  },

  /** Undefined unless a whole and valid head stands at the offset. */
  read(file: Buffer, at: number, seed: number): RecordHead | undefined {
    if (at + size > file.length) return undefined
    const checksum = file.readUInt32BE(at + offsets.headChecksum)
    if (zlib.crc32(file.subarray(at, at + offsets.headChecksum), seed) !== checksum) return undefined
    return {
      length: file.readUInt32BE(at),
      batchStart: RecordHead.batchStartAt(file, at),
      checksum: file.readUInt32BE(at + offsets.recordChecksum),
    }
  },
}
