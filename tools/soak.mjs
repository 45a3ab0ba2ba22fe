// The short form of the soak: one seed of the platform's own processes under overlapping troubles. Every invariant
// decides; what starves is left unjudged, and said so, where the machine was too slow to tell.
import { test } from 'node:test'
import { spawnSync } from 'node:child_process'
import { strictEqual } from 'node:assert'

test('a short soak of the platform keeps every invariant', () => {
  const flags = ['--seeds', '22', '--seconds', '20']
  const run = spawnSync(process.execPath, ['dist/simulator/main.js', 'soak', ...flags], { encoding: 'utf8' })
  strictEqual(run.status, 0, run.stdout + run.stderr)
  console.log(run.stdout.trimEnd())
})
