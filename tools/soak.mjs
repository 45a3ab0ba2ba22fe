// The short form of the soak: two seeds of the platform's own processes, one under overlapping troubles and one under a series of
// planned stops and reloads. Every invariant decides; what starves is left unjudged, and said so, where the machine was too slow to tell.
import { test } from 'node:test'
import { spawnSync } from 'node:child_process'
import { strictEqual } from 'node:assert'

function keepsInvariants(seed, seconds) {
  const flags = ['--seeds', seed, '--seconds', seconds]
  const run = spawnSync(process.execPath, ['dist/simulator/main.js', 'soak', ...flags], { encoding: 'utf8' })
  strictEqual(run.status, 0, run.stdout + run.stderr)
  console.log(run.stdout.trimEnd())
}

test('a short soak of the platform keeps every invariant', () => {
  keepsInvariants('22', '20')
})

test('a short soak of stops and reloads, with clients that keep their connections, keeps every invariant', () => {
  keepsInvariants('1', '30')
})
