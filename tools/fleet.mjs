// Short runs of both deployments as real processes; the runner prints its counts.
import { test } from 'node:test'
import { spawnSync } from 'node:child_process'
import { strictEqual } from 'node:assert'

for (const [deployment, faults] of [
  ['gopherline', 'runbooks'],
  ['cascade', 'kill-leader,crash-server'],
]) {
  test(`a short fleet of ${deployment} keeps every rule through ${faults}`, () => {
    const run = spawnSync(process.execPath, ['dist/testtrack/main.js', 'fleet', deployment, '--seconds', '12', '--faults', faults], {
      encoding: 'utf8',
    })
    strictEqual(run.status, 0, run.stdout + run.stderr)
  })
}
