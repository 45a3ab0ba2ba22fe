/**
 * Registers a file's tests, which stand at its foot, only when that file is the process's entry
 * point. Imported as part of a program the same file registers nothing.
 */
import { test } from 'node:test'
import { realpathSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

export function proof(fileUrl: string, tests: Record<string, () => void | Promise<void>>): void {
  const entry = process.argv[1]
  if (entry === undefined || realpathSync(entry) !== realpathSync(fileURLToPath(fileUrl))) return
  for (const [name, run] of Object.entries(tests)) void test(name, run)
}
