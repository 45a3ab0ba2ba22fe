// The bundle is made from what the sources import, and starts: without settings it ends with a sentence and code 2.
import { strictEqual, match } from 'node:assert'
import { spawnSync } from 'node:child_process'
import { test } from 'node:test'

test('the bundle is built, and its entry tells what it lacks', () => {
  const built = spawnSync(process.execPath, ['tools/bundle.mjs'], { encoding: 'utf8' })
  strictEqual(built.status, 0, built.stderr)
  const { SPRINGPADDLE_BOOT: _, ...env } = process.env
  const started = spawnSync(process.execPath, ['target/springpaddle.mjs', 'gateway'], { encoding: 'utf8', env })
  strictEqual(started.status, 2, started.stderr)
  match(started.stderr, /SPRINGPADDLE_BOOT/)
})
