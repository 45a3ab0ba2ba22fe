import { test } from 'node:test'
import { deepStrictEqual, match, strictEqual } from 'node:assert'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Startup } from '../common/Startup.js'
import { Command } from '../consensus/Command.js'
import { DiskRecord } from '../consensus/DiskRecord.js'
import { FileWriteAheadLog } from '../storage/FileWriteAheadLog.js'
import { foundAgain } from './foundAgain.js'

test('it tells first, does it only when sure, and an empty folder is turned away', async () => {
  const data = await mkdtemp(join(tmpdir(), 'refound-'))
  const startup = Startup.control.parse({
    name: 'box-1',
    zone: 'a',
    transport: '127.0.0.1:1',
    operators: '127.0.0.1:2',
    seeds: ['127.0.0.1:1'],
    seats: ['box-1'],
    data,
  })
  const lines: string[] = []
  const run = (sure: boolean) => foundAgain(startup, sure, (line) => lines.push(line))
  strictEqual(await run(true), 1)
  const writeAheadLog = await FileWriteAheadLog.open(data)
  const members = ['box-1', 'box-2'].map((seat) => ({ identity: `${seat}.1`, seat, address: '127.0.0.1:1', voter: true }))
  await writeAheadLog.append([
    DiskRecord.encode({ kind: 'identity', identity: 'box-1.1', system: 'old' }),
    DiskRecord.encode({ kind: 'entry', index: 1, term: 1, type: 'members', bytes: Buffer.from(JSON.stringify(members)) }),
    DiskRecord.encode({
      kind: 'entry',
      index: 2,
      term: 1,
      type: 'command',
      bytes: Command.encode({ kind: 'found', system: 'old', again: false }),
    }),
  ])
  await writeAheadLog.close()
  const kinds = async () => {
    const file = await FileWriteAheadLog.open(data)
    await file.close()
    return file.records.map((record) => DiskRecord.decode(record)?.kind)
  }
  strictEqual(await run(false), 0)
  deepStrictEqual(await kinds(), ['identity', 'entry', 'entry'])
  strictEqual(await run(true), 0)
  deepStrictEqual(await kinds(), ['identity', 'term', 'snapshot'])
  strictEqual(
    lines.some((line) => line.startsWith('Given up for good: box-2.')),
    true,
  )
  await rm(data, { recursive: true })
})

test('a folder with the file of another program is refused, with the exit code of its kind', async () => {
  const data = await mkdtemp(join(tmpdir(), 'refound-'))
  await writeFile(join(data, 'log'), 'a diary')
  const startup = Startup.control.parse({
    name: 'box-1',
    zone: 'a',
    transport: '127.0.0.1:1',
    operators: '127.0.0.1:2',
    seeds: ['127.0.0.1:1'],
    seats: ['box-1'],
    data,
  })
  const lines: string[] = []
  strictEqual(await foundAgain(startup, true, (line) => lines.push(line)), 65)
  match(lines.join('\n'), /is no log of this program/)
  strictEqual(await readFile(join(data, 'log'), 'utf8'), 'a diary')
  await rm(data, { recursive: true })
})
