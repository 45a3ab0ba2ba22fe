/**
 * The file system of the machine, through `node:fs/promises`.
 */
import { mkdir, open, rename, rm, type FileHandle } from 'node:fs/promises'
import { constants } from 'node:fs'
import { dirname, resolve } from 'node:path'
import type { FileSystem } from './FileSystem.js'
import type { StorageFile } from './StorageFile.js'

function hasCode(error: unknown, code: string): boolean {
  return error instanceof Error && 'code' in error && error.code === code
}

function storageFile(handle: FileHandle): StorageFile {
  return {
    readAll: () => handle.readFile(),
    append: async (bytes) => (await handle.write(bytes)).bytesWritten,
    truncate: (length) => handle.truncate(length),
    sync: () => handle.datasync(),
    close: () => handle.close(),
  }
}

async function openUnless(code: string, path: string, flags: string | number): Promise<StorageFile | undefined> {
  try {
    return storageFile(await open(path, flags))
  } catch (error) {
    if (hasCode(error, code)) return undefined
    throw error
  }
}

async function syncFolder(path: string): Promise<void> {
  const handle = await open(path, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

export const nodeFileSystem: FileSystem = {
  async makeFolder(path) {
    const firstMade = await mkdir(path, { recursive: true })
    if (firstMade === undefined) return
    const above = dirname(firstMade)
    for (let folder = dirname(resolve(path)); folder.startsWith(above); folder = dirname(folder)) {
      await syncFolder(folder)
      if (folder === above) return
    }
  },
  // No flag in letters opens for appending without making a missing file.
  open: (path) => openUnless('ENOENT', path, constants.O_RDWR | constants.O_APPEND),
  create: (path) => openUnless('EEXIST', path, 'ax+'),
  rename,
  remove: (path) => rm(path, { force: true }),
  syncFolder,
}
