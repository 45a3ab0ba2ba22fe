import { test } from 'node:test'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { rejects } from 'node:assert'
import { waybillContract } from './waybillContract.js'
import { FileWaybill } from './FileWaybill.js'

test('passes the contract of stores', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'waybill-'))
  await waybillContract(() => FileWaybill.open(folder))
  await rm(folder, { recursive: true })
})

test('a torn tail is cut, damage before a valid record turns the start away, a held folder too', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'waybill-'))
  const first = await FileWaybill.open(folder)
  await first.append([Buffer.from('one'), Buffer.from('two')])
  await first.close()
  const file = await readFile(join(folder, 'waybill'))
  await writeFile(join(folder, 'waybill'), file.subarray(0, file.length - 1))
  const torn = await FileWaybill.open(folder)
  if (torn.records.length !== 1) throw new Error('the torn record stayed')
  await torn.close()
  file.writeUInt8(file.readUInt8(9) ^ 1, 9)
  await writeFile(join(folder, 'waybill'), file)
  await rejects(() => FileWaybill.open(folder), /damaged at offset 0/)
  await writeFile(join(folder, 'lock'), String(process.ppid))
  await rejects(() => FileWaybill.open(folder), /is held by process/)
  await rm(folder, { recursive: true })
})
