/**
 * Why a data folder cannot be used as it is. Nothing in it was changed; the message says what to do,
 * and the process that needed the folder ends with the exit code (the numbers of sysexits.h).
 */
const exitCodes = {
  /** EX_DATAERR: the file is of another program, of another format version, or damaged. */
  foreign: 65,
  version: 65,
  damaged: 65,
  /** EX_TEMPFAIL: another process holds the folder. */
  held: 75,
} as const

export class StorageError extends Error {
  readonly kind: keyof typeof exitCodes
  readonly exitCode: number

  constructor(kind: keyof typeof exitCodes, message: string) {
    super(message)
    this.name = 'StorageError'
    this.kind = kind
    this.exitCode = exitCodes[kind]
  }
}
