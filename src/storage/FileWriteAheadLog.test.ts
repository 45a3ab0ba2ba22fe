import { test } from 'node:test'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { rejects } from 'node:assert'
import { writeAheadLogContract } from './writeAheadLogContract.js'
import { FileWriteAheadLog } from './FileWriteAheadLog.js'

test('passes the contract of stores', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'writeAheadLog-'))
  await writeAheadLogContract(() => FileWriteAheadLog.open(folder))
  await rm(folder, { recursive: true })
})

test('a torn tail is cut, damage before a valid record turns the start away, a held folder too', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'writeAheadLog-'))
  const first = await FileWriteAheadLog.open(folder)
  await first.append([Buffer.from('one'), Buffer.from('two')])
  await first.close()
  const file = await readFile(join(folder, 'log'))
  await writeFile(join(folder, 'log'), file.subarray(0, file.length - 1))
  const torn = await FileWriteAheadLog.open(folder)
  if (torn.records.length !== 1) throw new Error('the torn record stayed')
  await torn.close()
  file.writeUInt8(file.readUInt8(9) ^ 1, 9)
  await writeFile(join(folder, 'log'), file)
  await rejects(() => FileWriteAheadLog.open(folder), /damaged at offset 0/)
  await writeFile(join(folder, 'lock'), String(process.ppid))
  await rejects(() => FileWriteAheadLog.open(folder), /is held by process/)
  await rm(folder, { recursive: true })
})
