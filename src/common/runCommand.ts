/**
 * Runs a command line. Wrong usage is told on standard error and ends with exit code 2, help with 0.
 */
import { runSafely } from 'cmd-ts'

export async function runCommand(app: Parameters<typeof runSafely>[0], args: string[]): Promise<void> {
  const result = await runSafely(app, args)
  if (result._tag === 'ok') return
  const { exitCode, into, message } = result.error.config
  const stream = into === 'stdout' ? process.stdout : process.stderr
  stream.write(`${message}\n`)
  process.exitCode = exitCode === 0 ? 0 : 2
}
