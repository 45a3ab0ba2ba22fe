// The build command of the deploy file, run by a shell with stand-ins for node and npm.
import { deepStrictEqual } from 'node:assert'
import { spawnSync } from 'node:child_process'
import { chmodSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { parse } from 'smol-toml'

const { build } = parse(readFileSync('deploy/system.toml', 'utf8'))

/** Runs the command beside modules that are newer than the lockfile; the bundler fails as often as given. */
function run(t, failures) {
  const folder = mkdtempSync(join(tmpdir(), 'deploy-'))
  t.after(() => rmSync(folder, { recursive: true }))
  const bin = join(folder, 'bin')
  mkdirSync(bin)
  const standIn = (name, body) => {
    writeFileSync(join(bin, name), `#!/bin/sh\necho "${name} $*" >> called\n${body}\n`)
    chmodSync(join(bin, name), 0o755)
  }
  standIn('npm', '')
  standIn('node', `[ "$(grep -c '^node' called)" -gt ${failures} ]`)
  writeFileSync(join(folder, 'package-lock.json'), '')
  spawnSync('touch', ['-d', '1 minute ago', join(folder, 'package-lock.json')])
  mkdirSync(join(folder, 'node_modules'))
  const { status } = spawnSync('/bin/sh', ['-c', build], { cwd: folder, env: { PATH: `${bin}:${process.env.PATH}` } })
  const called = readFileSync(join(folder, 'called'), 'utf8').trimEnd().split('\n')
  return { status, called }
}

test('modules that fit are built with as they are', (t) => {
  deepStrictEqual(run(t, 0), { status: 0, called: ['node tools/bundle.mjs'] })
})

// Guards against modules that were carried over from another kind of machine and look newer than the lockfile.
test('modules that the bundler cannot run with are installed anew, and a build that still fails says so', (t) => {
  const again = ['node tools/bundle.mjs', 'npm ci --silent', 'node tools/bundle.mjs']
  deepStrictEqual(run(t, 1), { status: 0, called: again })
  deepStrictEqual(run(t, 2), { status: 1, called: again })
})
