/**
 * The store on a real disk: one append-only file in a data folder that this process holds.
 *
 * Records that wait for the disk are written as one batch, with one sync for all. A rewrite puts
 * a new file in the place of the old one; batches after it wait until the new name is durable, so nothing is
 * acknowledged that only a file without a lasting name holds. The file handle of the new file is kept
 * from its making on, and is never opened again by a name. A write that fails or comes to nothing, a
 * failed sync or a failed rename is final: that call and all later ones fail with the first error, for nobody
 * can tell what the disk holds then, and the process has to end and read its file again.
 *
 * `scanLog` tells what a loss of power may leave in the file, `LogFolder` what it may leave of the names,
 * and `FolderLock` what the lock is worth.
 */
import { randomBytes } from 'node:crypto'
import { Mutex } from 'async-mutex'
import { FolderLock } from './FolderLock.js'
import type { LogFile } from './LogFile.js'
import { LogFolder } from './LogFolder.js'
import { nodeFileSystem } from './nodeFileSystem.js'
import { procProcessTable } from './procProcessTable.js'
import { scanLog } from './scanLog.js'
import type { StorageParts } from './StorageParts.js'
import type { WriteAheadLog } from './WriteAheadLog.js'

interface WaitingBatch {
  readonly records: Uint8Array[]
  readonly synced: Promise<void>
}

const machineParts: StorageParts = { files: nodeFileSystem, processes: procProcessTable, scan: scanLog, randomBytes }

export class FileWriteAheadLog implements WriteAheadLog {
  readonly records: readonly Uint8Array[]
  readonly #folder: LogFolder
  readonly #lock: FolderLock
  readonly #turn = new Mutex()
  #log: LogFile
  #waiting: WaitingBatch | undefined
  #failure: Error | undefined

  private constructor(folder: LogFolder, lock: FolderLock, log: LogFile, records: Uint8Array[]) {
    this.#folder = folder
    this.#lock = lock
    this.#log = log
    this.records = records
  }

  /** Throws a `StorageError` when the folder is held, or its file cannot be read by this program. */
  static async open(path: string, parts: Partial<StorageParts> = {}): Promise<FileWriteAheadLog> {
    const all = { ...machineParts, ...parts }
    await all.files.makeFolder(path)
    const lock = await FolderLock.acquire(path, all.files, all.processes)
    try {
      const folder = new LogFolder(path, all)
      const { log, records } = await folder.open()
      return new FileWriteAheadLog(folder, lock, log, records)
    } catch (error) {
      await lock.release().catch(() => undefined)
      throw error
    }
  }

  get bytes(): number {
    return this.#log.length
  }

  append(records: readonly Uint8Array[]): Promise<void> {
    this.#waiting ??= this.#openBatch()
    this.#waiting.records.push(...records)
    return this.#waiting.synced
  }

  rewrite(records: readonly Uint8Array[]): Promise<void> {
    this.#waiting = undefined
    return this.#inTurn(async () => {
      const former = this.#log
      this.#log = await this.#folder.replace(records)
      await former.close()
    })
  }

  async close(): Promise<void> {
    await this.#turn.runExclusive(() => this.#log.close())
    await this.#lock.release()
  }

  #openBatch(): WaitingBatch {
    const records: Uint8Array[] = []
    const synced = this.#inTurn(async () => {
      if (this.#waiting?.records === records) this.#waiting = undefined
      if (records.length > 0) await this.#log.append(records)
    })
    return { records, synced }
  }

  #inTurn(work: () => Promise<void>): Promise<void> {
    return this.#turn.runExclusive(async () => {
      if (this.#failure !== undefined) throw this.#failure
      try {
        await work()
      } catch (error) {
        this.#failure = error instanceof Error ? error : new Error(String(error))
        throw this.#failure
      }
    })
  }
}
