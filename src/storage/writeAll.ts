/**
 * Writes all bytes at the end of a file, however few the system takes at a time. The writes of a batch
 * are thus several, and a loss of power before the next sync may keep any of them without the others.
 */
import type { StorageFile } from './StorageFile.js'

export async function writeAll(file: StorageFile, bytes: Uint8Array): Promise<void> {
  let written = 0
  while (written < bytes.length) {
    const taken = await file.append(bytes.subarray(written))
    if (taken === 0) throw new Error(`the disk took ${String(written)} of ${String(bytes.length)} bytes`)
    written += taken
  }
}
