import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { match, strictEqual } from 'node:assert'
import { z } from 'zod'
import { NodeVersion } from './NodeVersion.js'

test('the oldest version is the one that package.json names', () => {
  const Package = z.object({ engines: z.object({ node: z.string() }) })
  const { engines } = Package.parse(JSON.parse(readFileSync('package.json', 'utf8')))
  strictEqual(engines.node, `>=${NodeVersion.oldest}`)
})

test('older versions are told, newer ones pass', () => {
  for (const version of ['18.20.8', '20.9.0', '20.18.0', '8.99.99']) match(NodeVersion.unfit(version) ?? '', /or later is needed, this is /)
  for (const version of ['20.18.1', '20.19.0', '21.0.0', '22.1.0', '100.0.0', '21.0.0-nightly'])
    strictEqual(NodeVersion.unfit(version), undefined)
})

test('every program checks it before anything else is loaded', () => {
  const programs = ['control', 'proxy', 'gateway', 'agent', 'cli', 'simulator'].map((name) => `src/${name}/main.ts`)
  for (const file of [...programs, 'platform/main.ts']) {
    const first = /^import .*$/m.exec(readFileSync(file, 'utf8'))?.[0] ?? ''
    match(first, /^import '\.\.?\/(\.\.\/)?(src\/)?common\/checkNode\.js'$/, file)
  }
})
