/**
 * One log file that is open: batches are added at its end, each synced before the next is written. After
 * a failure its end is not known, and it must not be written again.
 */
import { batchLength } from './batchLength.js'
import { encodeBatch } from './encodeBatch.js'
import { LogHeader } from './LogHeader.js'
import type { StorageFile } from './StorageFile.js'
import type { StorageParts } from './StorageParts.js'
import { writeAll } from './writeAll.js'

interface OpenedLog {
  readonly log: LogFile
  readonly records: Uint8Array[]
}

const mark = new Uint8Array(0)

function refuseEmpty(records: readonly Uint8Array[]): void {
  if (records.some((record) => record.length === 0)) throw new Error('an empty record cannot be stored')
}

export class LogFile {
  readonly #file: StorageFile
  readonly #seed: number
  #length: number

  private constructor(file: StorageFile, seed: number, length: number) {
    this.#file = file
    this.#seed = seed
    this.#length = length
  }

  /** Fills an empty file and syncs it. It may get its name after that, not before. */
  static async fill(file: StorageFile, path: string, records: readonly Uint8Array[], parts: StorageParts): Promise<LogFile> {
    refuseEmpty(records)
    const bornBytes = LogHeader.size + batchLength(records)
    const header = LogHeader.encode(parts.randomBytes(LogHeader.fileIdBytes), bornBytes)
    const { seed } = LogHeader.decode(header, path)
    await writeAll(file, Buffer.concat([header, encodeBatch(records, LogHeader.size, seed)]))
    await file.sync()
    return new LogFile(file, seed, bornBytes)
  }

  /**
   * Reads the content of a file, cuts its torn tail, syncs what stays, and only then writes the mark that
   * vouches for it and that keeps bytes of the tail from ever standing there again.
   */
  static async read(file: StorageFile, content: Buffer, path: string, parts: StorageParts): Promise<OpenedLog> {
    const header = LogHeader.decode(content, path)
    const { records, end, damagedAt } = parts.scan(content, header)
    if (damagedAt !== undefined) throw LogHeader.damaged(path, damagedAt)
    if (end < content.length) await file.truncate(end)
    await file.sync()
    const log = new LogFile(file, header.seed, end)
    await log.#addBatch([mark])
    return { log, records: records.map((record) => new Uint8Array(record)) }
  }

  get length(): number {
    return this.#length
  }

  async append(records: readonly Uint8Array[]): Promise<void> {
    refuseEmpty(records)
    await this.#addBatch(records)
  }

  close(): Promise<void> {
    return this.#file.close()
  }

  async #addBatch(records: readonly Uint8Array[]): Promise<void> {
    const bytes = encodeBatch(records, this.#length, this.#seed)
    await writeAll(this.#file, bytes)
    await this.#file.sync()
    this.#length += bytes.length
  }
}
