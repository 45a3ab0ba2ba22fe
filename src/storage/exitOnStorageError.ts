/**
 * Ends a daemon whose data folder cannot be used: what is wrong and what to do goes to its log and
 * to standard error, and the exit code tells the kind. Other errors are thrown on.
 */
import type { Logger } from '../common/Logger.js'
import { StorageError } from './StorageError.js'

export function exitOnStorageError(program: string, logger: Logger): (error: unknown) => never {
  return (error) => {
    if (!(error instanceof StorageError)) throw error
    logger.fatal('storage', error.message)
    process.stderr.write(`${program}: ${error.message}\n`)
    process.exit(error.exitCode)
  }
}
