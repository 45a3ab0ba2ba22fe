/**
 * Has a process whose state is no longer known end with one line that says why, and an exit code of its own.
 */
import { exitCodes } from './exitCodes.js'

const bytesPerMb = 1_000_000
const inMb = (bytes: number) => (bytes / bytesPerMb).toFixed(0)

/** The error with where it was thrown, in one line, and the memory of the process at that moment. */
function describe(error: unknown, origin: string): string {
  const [what = '', where = ''] = (error instanceof Error ? (error.stack ?? error.message) : String(error)).split('\n')
  const { rss, heapUsed, external } = process.memoryUsage()
  return `ends on a defect (${origin}): ${what.trim()} ${where.trim()}; memory ${inMb(rss)} MB, heap ${inMb(heapUsed)} MB, external ${inMb(external)} MB`
}

/** `tell` writes a line that is out when it returns. */
export function endOnDefect(tell: (line: string) => void): void {
  process.on('uncaughtException', (error, origin) => {
    tell(describe(error, origin))
    process.exit(exitCodes.defect)
  })
}
