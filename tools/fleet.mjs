// Short runs of deployments as real processes; the runner prints its counts. Safety rules decide; bounds of
// time are checked by `simulator fleet` without --safety, on a machine of one's own.
import { test } from 'node:test'
import { spawnSync } from 'node:child_process'
import { strictEqual } from 'node:assert'

for (const [deployment, faults] of [
  ['gopherline', 'runbooks'],
  ['cascade', 'kill-leader,crash-server,lose-disk,lose-two-disks'],
  ['small', 'roll-all'],
]) {
  test(`a short fleet of ${deployment} keeps every rule through ${faults}`, () => {
    const flags = ['--seconds', '12', '--faults', faults, '--safety', '--no-visitors']
    const run = spawnSync(process.execPath, ['dist/simulator/main.js', 'fleet', deployment, ...flags], { encoding: 'utf8' })
    strictEqual(run.status, 0, run.stdout + run.stderr)
  })
}
