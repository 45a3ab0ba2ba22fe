import { test } from 'node:test'
import { match, strictEqual } from 'node:assert'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { OwnLoopback } from '../common/testing/OwnLoopback.js'
import { procProcessTable } from '../storage/procProcessTable.js'

const main = fileURLToPath(new URL('main.js', import.meta.url))

/** Starts a control node on a data folder that it must refuse. */
async function start(data: string): Promise<{ code: unknown; errors: string }> {
  const flags = {
    name: 'node-1',
    zone: 'a',
    transport: OwnLoopback.anyPort,
    operators: OwnLoopback.anyPort,
    seeds: '127.0.0.1:1',
    seats: 'node-1',
    data,
  }
  const options = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value])
  const child = spawn(process.execPath, [main, 'run', ...options], { stdio: ['ignore', 'ignore', 'pipe'] })
  let errors = ''
  child.stderr.on('data', (chunk: Buffer) => {
    errors += chunk.toString()
  })
  const closed: unknown[] = await once(child, 'close')
  return { code: closed[0], errors }
}

test('a control node ends with an exit code of its own, and a sentence, when its data folder cannot be used', async (context) => {
  const data = await mkdtemp(join(tmpdir(), 'data-'))
  context.after(() => rm(data, { recursive: true }))
  await writeFile(join(data, 'log'), 'a diary')
  const foreign = await start(data)
  strictEqual(foreign.code, 65)
  match(foreign.errors, /log is no log of this program: .* offset 0; nothing was changed\. Check the data folder/)
  strictEqual(await readFile(join(data, 'log'), 'utf8'), 'a diary')
  await writeFile(join(data, 'lock'), JSON.stringify(await procProcessTable.self()))
  const held = await start(data)
  strictEqual(held.code, 75)
  match(held.errors, /is held by process \d+.*; stop it or choose another data folder/)
})
