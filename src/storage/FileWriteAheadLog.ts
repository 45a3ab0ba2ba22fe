/**
 * The store on a real disk: one append-only file in the data folder, held by a lock file with the
 * holder's process id. Appends that wait are written and synced together. A rewrite goes to a new
 * file that is synced and renamed, and then the folder is synced. Any defect of the disk is final.
 */
import { Mutex } from 'async-mutex'
import { mkdir, open, readFile, rename, rm, writeFile, type FileHandle } from 'node:fs/promises'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { Record } from './Record.js'
import type { WriteAheadLog } from './WriteAheadLog.js'

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

function alive(pid: number): boolean {
  try {
    process.kill(pid, 0)
    return (
      readFileSync(`/proc/${String(pid)}/stat`, 'utf8')
        .split(') ')[1]
        ?.startsWith('Z') !== true
    )
  } catch {
    return false
  }
}

export class FileWriteAheadLog implements WriteAheadLog {
  readonly records: readonly Uint8Array[]
  readonly #folder: string
  readonly #path: string
  readonly #turn = new Mutex()
  #handle: FileHandle
  #bytes: number
  #batch: { records: Buffer[]; synced: Promise<void> } | undefined

  private constructor(folder: string, path: string, handle: FileHandle, records: Uint8Array[], bytes: number) {
    this.#folder = folder
    this.#path = path
    this.#handle = handle
    this.records = records
    this.#bytes = bytes
  }

  static async open(folder: string, name = 'log'): Promise<FileWriteAheadLog> {
    await mkdir(folder, { recursive: true })
    const lock = join(folder, 'lock')
    const held = Number(await readFile(lock, 'utf8').catch(() => ''))
    if (held > 0 && held !== process.pid && alive(held))
      throw new Error(`${folder} is held by process ${String(held)}; stop it or choose another data folder`)
    await writeFile(lock, String(process.pid))
    const path = join(folder, name)
    const handle = await open(path, 'a+')
    const file = await handle.readFile()
    const scan = Record.scan(file)
    if (scan.corruptAt !== undefined) {
      await handle.close()
      throw new Error(
        `${path} is damaged at offset ${String(scan.corruptAt)} before a valid record; keep the file for study, empty the folder, and let this machine catch up as a new replica`,
      )
    }
    if (scan.end < file.length) await handle.truncate(scan.end)
    await handle.sync()
    await syncFolder(folder)
    return new FileWriteAheadLog(
      folder,
      path,
      handle,
      scan.records.map((record) => new Uint8Array(record)),
      scan.end,
    )
  }

  get bytes(): number {
    return this.#bytes
  }

  append(records: readonly Uint8Array[]): Promise<void> {
    const batch = this.#batch ?? this.#openBatch()
    batch.records.push(...records.map((record) => Record.write(record)))
    return batch.synced
  }

  #openBatch(): { records: Buffer[]; synced: Promise<void> } {
    const records: Buffer[] = []
    const synced = this.#turn.runExclusive(async () => {
      if (this.#batch?.records === records) this.#batch = undefined
      if (records.length === 0) return
      const bytes = Buffer.concat(records)
      await this.#handle.writeFile(bytes)
      await this.#handle.datasync()
      this.#bytes += bytes.length
    })
    this.#batch = { records, synced }
    return this.#batch
  }

  rewrite(records: readonly Uint8Array[]): Promise<void> {
    this.#batch = undefined
    return this.#turn.runExclusive(async () => {
      const fresh = `${this.#path}.new`
      const handle = await open(fresh, 'w')
      const bytes = Buffer.concat(records.map((record) => Record.write(record)))
      await handle.writeFile(bytes)
      await handle.sync()
      await handle.close()
      await rename(fresh, this.#path)
      await syncFolder(this.#folder)
      await this.#handle.close()
      this.#handle = await open(this.#path, 'a+')
      this.#bytes = bytes.length
    })
  }

  async close(): Promise<void> {
    await this.#turn.runExclusive(() => this.#handle.close())
    await rm(join(this.#folder, 'lock'), { force: true })
  }
}
