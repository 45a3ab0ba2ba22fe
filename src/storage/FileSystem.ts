/**
 * The operations on files and names that the log needs: the port behind which tests put a disk that
 * loses power. A new, renamed or removed name survives a loss of power once its folder was synced.
 */
import type { StorageFile } from './StorageFile.js'

export interface FileSystem {
  /** Makes the folder and those above it, durably; nothing when it is there. */
  makeFolder(path: string): Promise<void>
  /** Undefined when no file has the name. */
  open(path: string): Promise<StorageFile | undefined>
  /** Makes an empty file. Undefined when the name is taken. */
  create(path: string): Promise<StorageFile | undefined>
  rename(from: string, to: string): Promise<void>
  /** Nothing when no file has the name. */
  remove(path: string): Promise<void>
  syncFolder(path: string): Promise<void>
}
