/**
 * The names of a data folder: `log`, and `log.new` while a file is made that is to take its place.
 *
 * A file is filled and synced as `log.new`, renamed to `log`, and then the folder is synced. Names that
 * changed since the folder was last synced may each be kept or lost by themselves, which leaves:
 *
 * - no `log`, with or without a `log.new` that may be torn: no file had lasted, nothing was acknowledged, and
 *   one is made. A `log.new` that is whole is taken instead: only a rename that did half of its work leaves it so.
 * - the former `log`, with or without a `log.new`: nothing was acknowledged of the new file yet; what is left of it is removed.
 * - the new `log`, also with a `log.new` that is the same or an earlier one: the latter is removed.
 *
 * An opening syncs the folder before it ends, so a rename by a process that was killed lasts before anything
 * is appended to the renamed file.
 */
import { join } from 'node:path'
import { LogFile } from './LogFile.js'
import { LogHeader } from './LogHeader.js'
import { StorageError } from './StorageError.js'
import type { StorageFile } from './StorageFile.js'
import type { StorageParts } from './StorageParts.js'

interface NamedFile {
  readonly file: StorageFile
  readonly content: Buffer
}

export class LogFolder {
  readonly #folder: string
  readonly #path: string
  readonly #newPath: string
  readonly #parts: StorageParts

  constructor(folder: string, parts: StorageParts) {
    this.#folder = folder
    this.#path = join(folder, 'log')
    this.#newPath = `${this.#path}.new`
    this.#parts = parts
  }

  /** Opens the log, or makes an empty one. */
  async open(): Promise<{ log: LogFile; records: Uint8Array[] }> {
    const named = await this.#openNamed()
    if (named === undefined) return { log: await this.replace([]), records: [] }
    const { file, content } = named
    try {
      const opened = await LogFile.read(file, content, this.#path, this.#parts)
      await this.#parts.files.remove(this.#newPath)
      await this.#parts.files.syncFolder(this.#folder)
      return opened
    } catch (error) {
      await file.close()
      throw error
    }
  }

  /** Puts a file with just these records in the place of the log. */
  async replace(records: readonly Uint8Array[]): Promise<LogFile> {
    const { files } = this.#parts
    await files.remove(this.#newPath)
    const file = await files.create(this.#newPath)
    if (file === undefined) throw new Error(`${this.#newPath} was made by another process`)
    try {
      const log = await LogFile.fill(file, this.#newPath, records, this.#parts)
      await files.rename(this.#newPath, this.#path)
      await files.syncFolder(this.#folder)
      return log
    } catch (error) {
      await file.close()
      throw error
    }
  }

  async #read(path: string): Promise<NamedFile | undefined> {
    const file = await this.#parts.files.open(path)
    return file === undefined ? undefined : { file, content: await file.readAll() }
  }

  async #openNamed(): Promise<NamedFile | undefined> {
    const named = await this.#read(this.#path)
    if (named !== undefined && named.content.length > 0) return named
    await named?.file.close()
    return this.#adoptNew()
  }

  /** Gives a `log.new` that is whole the name of the log. */
  async #adoptNew(): Promise<NamedFile | undefined> {
    const { files } = this.#parts
    const made = await this.#read(this.#newPath)
    if (made === undefined) return undefined
    if (!this.#isWhole(made.content)) {
      await made.file.close()
      return undefined
    }
    await made.file.sync()
    await files.rename(this.#newPath, this.#path)
    await files.syncFolder(this.#folder)
    return made
  }

  #isWhole(content: Buffer): boolean {
    try {
      return this.#parts.scan(content, LogHeader.decode(content, this.#newPath)).damagedAt === undefined
    } catch (error) {
      if (error instanceof StorageError) return false
      throw error
    }
  }
}
