import { test, type TestContext } from 'node:test'
import { deepStrictEqual, ok, rejects, strictEqual } from 'node:assert'
import { copyFile, mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FileWriteAheadLog } from './FileWriteAheadLog.js'
import { procProcessTable } from './procProcessTable.js'
import { writeAheadLogContract } from './writeAheadLogContract.js'

async function freshFolder(context: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'writeAheadLog-'))
  context.after(() => rm(folder, { recursive: true }))
  return folder
}

async function write(folder: string, ...batches: string[][]): Promise<void> {
  const log = await FileWriteAheadLog.open(folder)
  for (const batch of batches) await log.append(batch.map((text) => Buffer.from(text)))
  await log.close()
}

async function read(folder: string): Promise<string[]> {
  const log = await FileWriteAheadLog.open(folder)
  await log.close()
  return log.records.map((record) => Buffer.from(record).toString())
}

test('passes the contract of stores', async (context) => {
  const folder = await freshFolder(context)
  await writeAheadLogContract(() => FileWriteAheadLog.open(folder))
})

test('a data folder is made, with those above it', async (context) => {
  const folder = join(await freshFolder(context), 'a', 'b')
  await write(folder, ['one'])
  deepStrictEqual(await read(folder), ['one'])
})

test('a torn tail is cut, and what is appended after it is kept', async (context) => {
  const folder = await freshFolder(context)
  await write(folder, ['one', 'two'])
  const file = await readFile(join(folder, 'log'))
  await writeFile(join(folder, 'log'), file.subarray(0, file.length - 1))
  await write(folder, ['three'])
  deepStrictEqual(await read(folder), ['one', 'three'])
})

test('a file that cannot be read is refused and left as it was: damaged, of another program, of a newer version', async (context) => {
  const folder = await freshFolder(context)
  const path = join(folder, 'log')
  await write(folder, ['one', 'two'], ['three'])
  const file = await readFile(path)
  const damaged = Buffer.from(file)
  const at = file.indexOf('one')
  damaged.writeUInt8(damaged.readUInt8(at) ^ 1, at)
  const newer = Buffer.from(file)
  newer.writeUInt32BE(9, 8)
  const refused = { damaged, version: newer, foreign: Buffer.from('{"log": []}') }
  for (const [kind, content] of Object.entries(refused)) {
    await writeFile(path, content)
    await writeFile(`${path}.new`, 'left')
    await rejects(FileWriteAheadLog.open(folder), { kind, exitCode: 65, message: new RegExp(`^${path} .* offset \\d+`) })
    ok((await readFile(path)).equals(content))
    deepStrictEqual((await readdir(folder)).sort(), ['log', 'log.new'])
  }
})

test('a folder held by a running process is refused', async (context) => {
  const folder = await freshFolder(context)
  await writeFile(join(folder, 'lock'), JSON.stringify(await procProcessTable.find(process.ppid)))
  await rejects(FileWriteAheadLog.open(folder), { kind: 'held', message: /is held by process/ })
})

test('an empty log, a torn one that has no name yet, and an earlier one that came back do not hinder an opening', async (context) => {
  const folder = await freshFolder(context)
  const path = join(folder, 'log')
  await writeFile(path, '')
  await writeFile(`${path}.new`, '\0\0\0')
  await write(folder, ['one'])
  await copyFile(path, `${path}.new`)
  await write(folder, ['two'])
  deepStrictEqual(await read(folder), ['one', 'two'])
  deepStrictEqual(await readdir(folder), ['log'])
})

test('a whole file that only its former name names is taken', async (context) => {
  const folder = await freshFolder(context)
  const path = join(folder, 'log')
  await write(folder, ['one'])
  await copyFile(path, `${path}.new`)
  await rm(path)
  deepStrictEqual(await read(folder), ['one'])
  deepStrictEqual(await readdir(folder), ['log'])
})

test('an empty record is refused', async (context) => {
  const log = await FileWriteAheadLog.open(await freshFolder(context))
  await rejects(log.append([Buffer.alloc(0)]), /empty record/)
  await log.close()
})

test('after a rewrite the log is the file that has the name', async (context) => {
  const folder = await freshFolder(context)
  const log = await FileWriteAheadLog.open(folder)
  await log.append([Buffer.from('one')])
  await log.rewrite([Buffer.from('two')])
  await log.append([Buffer.from('three')])
  strictEqual((await readFile(join(folder, 'log'))).length, log.bytes)
  await log.close()
  deepStrictEqual(await read(folder), ['two', 'three'])
})
