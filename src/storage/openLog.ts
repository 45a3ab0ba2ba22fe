/**
 * Opens the write-ahead log of a folder once its predecessor has given the folder up and the disk takes writes.
 */
import type { StartWait } from '../common/StartWait.js'
import { FileWriteAheadLog } from './FileWriteAheadLog.js'
import { StorageError } from './StorageError.js'
import type { StorageParts } from './StorageParts.js'

/** A disk without room, or one that refuses writes for a while. */
const passingErrors: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG', 'EIO'])

function mayPass(error: unknown): boolean {
  if (error instanceof StorageError) return error.kind === 'held'
  return error instanceof Error && 'code' in error && passingErrors.has(error.code)
}

/** Throws a `StorageError` when the folder is still held at the end of the start's time, or its file cannot be read. */
export function openLog(folder: string, wait: StartWait, parts: Partial<StorageParts> = {}): Promise<FileWriteAheadLog> {
  return wait.until({ resource: folder, attempt: () => FileWriteAheadLog.open(folder, parts), mayPass })
}
