// A short run of both deployments as real processes; the runner prints its counts.
import { test } from 'node:test'
import { spawnSync } from 'node:child_process'
import { strictEqual } from 'node:assert'

for (const deployment of ['gopherline', 'cascade']) {
  test(`a short fleet of ${deployment} keeps every rule`, () => {
    const run = spawnSync(process.execPath, ['dist/testtrack/main.js', 'fleet', deployment, '--seconds', '8'], { encoding: 'utf8' })
    strictEqual(run.status, 0, run.stdout + run.stderr)
  })
}
