/**
 * A file that names the process that holds a data folder. It keeps two processes started by mistake from
 * one folder; it is never synced, and may be lost, torn or come back with the power. Only a lock whose process
 * is seen to run, with the same start, counts as held. Any other is stale and taken over: its process ended,
 * another process has its number, the machine was started since, the file is empty or torn, or
 * processes cannot be seen at all.
 */
import { join } from 'node:path'
import { z } from 'zod'
import type { FileSystem } from './FileSystem.js'
import type { ProcessTable } from './ProcessTable.js'
import { StorageError } from './StorageError.js'
import { writeAll } from './writeAll.js'

const Holder = z.object({ pid: z.number().int().positive(), started: z.string(), boot: z.string() })
type Holder = z.infer<typeof Holder>

const takeovers = 3

function parse(text: string): Holder | undefined {
  try {
    return Holder.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

export class FolderLock {
  readonly #files: FileSystem
  readonly #path: string
  readonly #holder: Holder

  private constructor(files: FileSystem, path: string, holder: Holder) {
    this.#files = files
    this.#path = path
    this.#holder = holder
  }

  static async acquire(folder: string, files: FileSystem, processes: ProcessTable): Promise<FolderLock> {
    const lock = new FolderLock(files, join(folder, 'lock'), await processes.self())
    for (let tried = 0; tried < takeovers; tried++) {
      if (await lock.#write()) return lock
      const holder = await lock.#read()
      if (holder !== undefined && (await lock.#isRunning(holder, processes)))
        throw new StorageError(
          'held',
          `${folder} is held by process ${String(holder.pid)}, as ${lock.#path} says; stop it or choose another data folder`,
        )
      await files.remove(lock.#path)
    }
    throw new StorageError('held', `${folder} is taken by other processes that start now, as ${lock.#path} says; start this one again`)
  }

  /** Removes the lock, unless another process has taken it over. */
  async release(): Promise<void> {
    const holder = await this.#read()
    if (holder?.pid === this.#holder.pid && holder.started === this.#holder.started) await this.#files.remove(this.#path)
  }

  async #isRunning(holder: Holder, processes: ProcessTable): Promise<boolean> {
    if (holder.pid === this.#holder.pid) return false
    const found = await processes.find(holder.pid)
    return found !== undefined && found.started === holder.started && found.boot === holder.boot
  }

  async #write(): Promise<boolean> {
    const file = await this.#files.create(this.#path)
    if (file === undefined) return false
    try {
      await writeAll(file, Buffer.from(JSON.stringify(this.#holder)))
    } finally {
      await file.close()
    }
    return true
  }

  async #read(): Promise<Holder | undefined> {
    const file = await this.#files.open(this.#path)
    if (file === undefined) return undefined
    try {
      return parse((await file.readAll()).toString())
    } finally {
      await file.close()
    }
  }
}
