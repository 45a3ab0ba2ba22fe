/**
 * Why a data folder cannot be used as it is. Nothing in it was changed; the message says what to do,
 * and the process that needed the folder ends with the exit code (the numbers of sysexits.h).
 */
import { exitCodes } from '../common/exitCodes.js'

const codes = {
  /** The file is of another program, of another format version, or damaged. */
  foreign: exitCodes.unreadableData,
  version: exitCodes.unreadableData,
  damaged: exitCodes.unreadableData,
  held: exitCodes.folderHeld,
} as const

export class StorageError extends Error {
  readonly kind: keyof typeof codes
  readonly exitCode: number

  constructor(kind: keyof typeof codes, message: string) {
    super(message)
    this.name = 'StorageError'
    this.kind = kind
    this.exitCode = codes[kind]
  }
}
