// Follows the first run of README.md: takes its commands from the page and runs them as they stand, in a shell, in a folder
// of their own. Only the run's length is shortened, and --safety added, since the machine of a test may be slow.
import { deepStrictEqual, match, ok, strictEqual } from 'node:assert'
import { spawn, spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'

const page = readFileSync('README.md', 'utf8')
const section = /^## A first run\n([\s\S]*?)^## /m.exec(page)?.[1] ?? ''
const [start = '', ...visit] = section
  .split('\n')
  .filter((line) => line.startsWith('    '))
  .map((line) => line.trim())

test("README's first run, followed with its own commands, keeps every rule", { timeout: 180_000 }, async () => {
  match(start, /^node dist\/simulator\/main\.js fleet gopherline --seconds 60 --folder run\/first$/)
  deepStrictEqual(
    visit.map((line) => line.split(' ')[0]),
    ['export', 'node', 'node', 'node', 'callers=$(grep', 'curl'],
  )
  const folder = mkdtempSync(join(tmpdir(), 'first-run-'))
  for (const name of ['dist', 'node_modules', 'package.json', 'runbooks']) symlinkSync(resolve(name), join(folder, name))
  const [program, ...words] = start.replace('--seconds 60', '--seconds 15 --safety').split(' ')
  const fleet = spawn(program === 'node' ? process.execPath : program, words, { cwd: folder, stdio: ['ignore', 'pipe', 'pipe'] })
  let told = ''
  for (const stream of [fleet.stdout, fleet.stderr]) stream.on('data', (chunk) => (told += String(chunk)))
  const ended = new Promise((done) => fleet.on('exit', done))
  try {
    const startups = join(folder, 'run/first')
    while (!/processes are up/.test(told) && fleet.exitCode === null) await pause(50)
    ok(existsSync(startups) && readdirSync(startups).some((name) => name.endsWith('.json')), told)
    await pause(3000)
    const seen = spawnSync('sh', ['-e', '-c', visit.join('\n')], { cwd: folder, encoding: 'utf8' })
    strictEqual(seen.status, 0, seen.stdout + seen.stderr)
    match(seen.stdout, /^HTTP\/1\.1 200 /m)
    match(seen.stdout, / line 1 of 1$/m)
    strictEqual(await ended, 0, told)
    match(told, /^visitors: 1 requests/m)
    match(told, /^pass stray$/m)
  } finally {
    await ended
    rmSync(folder, { recursive: true, force: true })
  }
})
