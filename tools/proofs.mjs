// Runs every compiled file that registers tests at its foot, each as its own entry point.
import { spawnSync } from 'node:child_process'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const files = readdirSync('dist', { recursive: true })
  .filter((name) => name.endsWith('.js'))
  .map((name) => join('dist', name))
  .filter((path) => /^proof\(import\.meta\.url/m.test(readFileSync(path, 'utf8')))
  .sort()
if (files.length === 0) {
  console.error('proofs: no file registers tests; build first')
  process.exit(1)
}
const run = spawnSync(process.execPath, ['--test', '--test-reporter=spec', ...process.argv.slice(2), ...files], { stdio: 'inherit' })
process.exit(run.status ?? 1)
