/**
 * What the log leans on: the machine's own by default, others in tests.
 */
import type { FileSystem } from './FileSystem.js'
import type { ProcessTable } from './ProcessTable.js'
import type { scanLog } from './scanLog.js'

export interface StorageParts {
  readonly files: FileSystem
  readonly processes: ProcessTable
  readonly scan: typeof scanLog
  readonly randomBytes: (count: number) => Uint8Array
}
