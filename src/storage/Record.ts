/**
 * A record on disk: its length, a CRC-32 over its bytes, then the bytes. Scanning a file gives the
 * whole records; a broken last record is torn and may be cut, but a broken record with a valid one
 * after it is corruption.
 */
import zlib from 'node:zlib'
import { headBytes } from './headBytes.js'

const limitBytes = 256 * 1024 * 1024

function readAt(file: Buffer, at: number): Buffer | undefined {
  if (at + headBytes > file.length) return undefined
  const length = file.readUInt32BE(at)
  if (length === 0 || length > limitBytes || at + headBytes + length > file.length) return undefined
  const bytes = file.subarray(at + headBytes, at + headBytes + length)
  return zlib.crc32(bytes) === file.readUInt32BE(at + 4) ? bytes : undefined
}

export const Record = {
  write(bytes: Uint8Array): Buffer {
    const record = Buffer.alloc(headBytes + bytes.length)
    record.writeUInt32BE(bytes.length, 0)
    record.writeUInt32BE(zlib.crc32(bytes), 4)
    record.set(bytes, headBytes)
    return record
  },

  /** `end` is where whole records end. `corruptAt` is set when a valid record follows a broken one. */
  scan(file: Buffer): { records: Buffer[]; end: number; corruptAt: number | undefined } {
    const records: Buffer[] = []
    let at = 0
    for (;;) {
      const bytes = readAt(file, at)
      if (bytes === undefined) break
      records.push(bytes)
      at += headBytes + bytes.length
    }
    for (let later = at + 1; later + headBytes < file.length; later++) {
      if (readAt(file, later) !== undefined) return { records, end: at, corruptAt: at }
    }
    return { records, end: at, corruptAt: undefined }
  },
}
