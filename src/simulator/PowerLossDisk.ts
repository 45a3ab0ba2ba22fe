/**
 * A file system that can lose its power at any effect. A file holds what its last sync covered; every
 * later write or cut of its length is kept, lost or torn by itself, and at some losses all are gone. A name that
 * was made, renamed or removed since its folder was last synced is kept or lost by itself, a renamed file's
 * two names too. Each opening of the log gets a view of its own through `start`, and a view that was stopped
 * does nothing more, as a process that ended does.
 */
import { dirname } from 'node:path'
import type { Random } from '../common/Random.js'
import type { FileSystem } from '../storage/FileSystem.js'
import type { StorageFile } from '../storage/StorageFile.js'

type Change =
  { readonly kind: 'write'; readonly at: number; readonly bytes: Buffer } | { readonly kind: 'truncate'; readonly length: number }

/** `stale` is what once stood at each offset and was cut off or lost; a later hole in the file may show it. */
interface Inode {
  synced: Buffer
  content: Buffer
  unsynced: Change[]
  stale: Buffer
}

/** The name of a file as it was last synced, and each state it had since. */
interface Name {
  synced: Inode | undefined
  since: (Inode | undefined)[]
}

const sectorBytes = 64
/** The most bytes that one write takes. */
const writeBytes = 250

function put(content: Buffer, at: number, bytes: Buffer, hole: Buffer = Buffer.alloc(0)): Buffer {
  const longer = Buffer.alloc(Math.max(content.length, at + bytes.length))
  hole.copy(longer)
  content.copy(longer)
  bytes.copy(longer, at)
  return longer
}

/** A promise of its own for each call: one that all shared would keep all that ever waited for it. */
function never(): Promise<never> {
  return new Promise(() => undefined)
}

/** What a change leaves of itself when the power goes before its sync. */
function partOf(content: Buffer, change: Change, hole: Buffer, random: Random): Buffer {
  if (random.hit(0.3)) return content
  if (change.kind === 'truncate') return content.subarray(0, change.length)
  const { at, bytes } = change
  if (random.hit(0.5)) return put(content, at, bytes, hole)
  if (random.hit(0.5)) return put(content, at, bytes.subarray(0, random.below(bytes.length)), hole)
  let torn = content
  for (let from = 0; from < bytes.length; from += sectorBytes)
    if (random.hit(0.5)) torn = put(torn, at + from, bytes.subarray(from, from + sectorBytes), hole)
  return torn
}

export class PowerLossDisk {
  /** Told before each effect: a write, cut, sync, making, rename, removal or sync of a folder. True stops the view before it is done. */
  watch: (effect: string) => boolean = () => false
  readonly #random: Random
  readonly #names = new Map<string, Name>()

  constructor(random: Random) {
    this.#random = random
  }

  /** A view for one process. It stops for good when `watch` says so, or when `stop` is called. */
  start(): { files: FileSystem; stop: () => void } {
    let runs = true
    const effect = async <T>(name: string, work: () => T): Promise<T> => {
      if (!runs) return never()
      await Promise.resolve()
      if (this.watch(name)) runs = false
      return runs ? work() : never()
    }
    const files: FileSystem = {
      makeFolder: () => Promise.resolve(),
      open: (path) => {
        const inode = this.#current(path)
        return Promise.resolve(inode === undefined ? undefined : this.#file(path, inode, effect))
      },
      create: (path) =>
        effect(`create ${path}`, () => {
          if (this.#current(path) !== undefined) return undefined
          const inode: Inode = { synced: Buffer.alloc(0), content: Buffer.alloc(0), unsynced: [], stale: Buffer.alloc(0) }
          this.#name(path).since.push(inode)
          return this.#file(path, inode, effect)
        }),
      rename: (from, to) =>
        effect(`rename ${from}`, () => {
          const inode = this.#current(from)
          if (inode === undefined) throw new Error(`no file has the name ${from}`)
          this.#name(to).since.push(inode)
          this.#name(from).since.push(undefined)
        }),
      remove: (path) =>
        effect(`remove ${path}`, () => {
          if (this.#current(path) !== undefined) this.#name(path).since.push(undefined)
        }),
      syncFolder: (path) =>
        effect(`syncFolder ${path}`, () => {
          for (const [name, state] of this.#names) {
            if (dirname(name) !== path) continue
            state.synced = this.#current(name)
            state.since = []
          }
        }),
    }
    return {
      files,
      stop: () => {
        runs = false
      },
    }
  }

  /** Loses the power; the random numbers choose what is kept. */
  cutPower(random: Random): void {
    const everyChangeIsGone = random.hit(0.2)
    const inodes = new Set<Inode>()
    for (const name of this.#names.values()) {
      for (const inode of [name.synced, ...name.since]) if (inode !== undefined) inodes.add(inode)
      if (!everyChangeIsGone) name.synced = random.pick([name.synced, ...name.since])
      name.since = []
    }
    for (const inode of inodes) {
      const hole = random.hit(0.5) ? inode.stale : Buffer.alloc(0)
      if (!everyChangeIsGone) for (const change of inode.unsynced) inode.synced = partOf(inode.synced, change, hole, random)
      inode.stale = put(inode.stale, 0, inode.content)
      inode.content = inode.synced
      inode.unsynced = []
    }
  }

  #name(path: string): Name {
    const name = this.#names.get(path) ?? { synced: undefined, since: [] }
    this.#names.set(path, name)
    return name
  }

  #current(path: string): Inode | undefined {
    const name = this.#names.get(path)
    return name === undefined || name.since.length === 0 ? name?.synced : name.since.at(-1)
  }

  #file(path: string, inode: Inode, effect: <T>(name: string, work: () => T) => Promise<T>): StorageFile {
    return {
      readAll: () => Promise.resolve(Buffer.from(inode.content)),
      append: (bytes) =>
        effect(`write ${path}`, () => {
          const taken = Buffer.from(bytes.subarray(0, 1 + this.#random.below(writeBytes)))
          inode.unsynced.push({ kind: 'write', at: inode.content.length, bytes: taken })
          inode.content = put(inode.content, inode.content.length, taken)
          return taken.length
        }),
      truncate: (length) =>
        effect(`truncate ${path}`, () => {
          inode.unsynced.push({ kind: 'truncate', length })
          inode.stale = put(inode.stale, 0, inode.content)
          inode.content = inode.content.subarray(0, length)
        }),
      sync: () =>
        effect(`sync ${path}`, () => {
          inode.synced = inode.content
          inode.unsynced = []
        }),
      close: () => Promise.resolve(),
    }
  }
}
