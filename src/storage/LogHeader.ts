/**
 * The start of a log file: what tells it from every other file, its format version, and what is known
 * of it since it was made.
 *
 *     offset  bytes  field
 *     0       8      magic: no text and no earlier format begins with it
 *     8       4      format version
 *     12      8      file id, random: record heads of another file are not valid in this one
 *     20      6      born bytes: the length that the file had when it was synced and given its name
 *     26      2      zero
 *     28      4      CRC-32 of the bytes before
 *
 * A file gets its name only after it was synced, so neither the header nor anything else in the born
 * bytes can be torn by a loss of power: whatever is wrong there is damage.
 */
import zlib from 'node:zlib'
import { StorageError } from './StorageError.js'

const magic = Buffer.from('\x89SPWAL\r\n', 'latin1')
const version = 1
const size = 32
const offsets = { version: 8, fileId: 12, bornBytes: 20, checksum: 28 } as const
const bornBytesWidth = 6
const fileIdBytes = 8

const otherwise = 'keep the file for study, empty the folder, and let this machine catch up as a new replica'

export interface LogHeader {
  readonly bornBytes: number
  /** Every checksum of a record head in the file starts from this. */
  readonly seed: number
}

export const LogHeader = {
  size,
  fileIdBytes,

  encode(fileId: Uint8Array, bornBytes: number): Buffer {
    const bytes = Buffer.alloc(size)
    magic.copy(bytes)
    bytes.writeUInt32BE(version, offsets.version)
    bytes.set(fileId.subarray(0, fileIdBytes), offsets.fileId)
    bytes.writeUIntBE(bornBytes, offsets.bornBytes, bornBytesWidth)
    bytes.writeUInt32BE(zlib.crc32(bytes.subarray(0, offsets.checksum)), offsets.checksum)
    return bytes
  },

  /** The header, or a `StorageError` that names the path and the offset of what cannot be read. */
  decode(file: Buffer, path: string): LogHeader {
    if (!file.subarray(0, magic.length).equals(magic))
      throw new StorageError(
        'foreign',
        `${path} is no log of this program: its format is not known at offset 0; nothing was changed. Check the data folder, move the file away if it is another program's, or ${otherwise}`,
      )
    const found = file.length < offsets.fileId ? version : file.readUInt32BE(offsets.version)
    if (found !== version)
      throw new StorageError(
        'version',
        `${path} has format version ${String(found)} at offset ${String(offsets.version)}, and this program reads version ${String(version)}; nothing was changed. Start the version of the program that wrote it, or ${otherwise}`,
      )
    const seed = file.length < size ? undefined : file.readUInt32BE(offsets.checksum)
    if (seed === undefined || zlib.crc32(file.subarray(0, offsets.checksum)) !== seed) throw LogHeader.damaged(path, 0)
    return { bornBytes: file.readUIntBE(offsets.bornBytes, bornBytesWidth), seed }
  },

  damaged(path: string, offset: number): StorageError {
    return new StorageError(
      'damaged',
      `${path} (format version ${String(version)}) is damaged at offset ${String(offset)}, in data that was synced; nothing was changed: ${otherwise}`,
    )
  },
}
