import { test, type TestContext } from 'node:test'
import { deepStrictEqual, match, rejects, strictEqual } from 'node:assert'
import { mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FolderLock } from './FolderLock.js'
import { nodeFileSystem } from './nodeFileSystem.js'
import type { ProcessTable } from './ProcessTable.js'
import { procProcessTable } from './procProcessTable.js'

const other = { pid: 77, started: '1000', boot: 'boot-a' }

/** This process is number 5; number 77 is as given. */
function processes(seen: typeof other | undefined): ProcessTable {
  return {
    self: () => Promise.resolve({ pid: 5, started: '2000', boot: 'boot-a' }),
    find: (pid) => Promise.resolve(pid === other.pid ? seen : undefined),
  }
}

async function folderWith(context: TestContext, lock: string | undefined): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'lock-'))
  context.after(() => rm(folder, { recursive: true }))
  if (lock !== undefined) await writeFile(join(folder, 'lock'), lock)
  return folder
}

test('a folder is held by a process that runs with the start that its lock tells', async (context) => {
  const folder = await folderWith(context, JSON.stringify(other))
  await rejects(FolderLock.acquire(folder, nodeFileSystem, processes(other)), { kind: 'held', exitCode: 75, message: /held by process 77/ })
  deepStrictEqual(JSON.parse(await readFile(join(folder, 'lock'), 'utf8')), other)
})

const stale: Record<string, { lock: string | undefined; seen: typeof other | undefined }> = {
  'no lock': { lock: undefined, seen: undefined },
  'its process ended, or processes cannot be seen': { lock: JSON.stringify(other), seen: undefined },
  'another process has its number': { lock: JSON.stringify(other), seen: { ...other, started: '1001' } },
  'the machine was started since': { lock: JSON.stringify(other), seen: { ...other, boot: 'boot-b' } },
  'this process has its number': { lock: JSON.stringify({ ...other, pid: 5 }), seen: other },
  'an empty lock': { lock: '', seen: other },
  'a torn lock': { lock: JSON.stringify(other).slice(0, 20), seen: other },
  'a lock of zeros': { lock: '\0'.repeat(50), seen: other },
  'a lock of something else': { lock: '77', seen: other },
}
for (const [name, { lock, seen }] of Object.entries(stale))
  test(`a stale lock is taken over: ${name}`, async (context) => {
    const folder = await folderWith(context, lock)
    const taken = await FolderLock.acquire(folder, nodeFileSystem, processes(seen))
    match(await readFile(join(folder, 'lock'), 'utf8'), /"pid":5,"started":"2000"/)
    await taken.release()
    deepStrictEqual(await readdir(folder), [])
  })

test('a lock that another process took over is not removed', async (context) => {
  const folder = await folderWith(context, undefined)
  const lock = await FolderLock.acquire(folder, nodeFileSystem, processes(undefined))
  await writeFile(join(folder, 'lock'), JSON.stringify(other))
  await lock.release()
  deepStrictEqual(await readdir(folder), ['lock'])
})

test('this machine tells a running process from one that never was', async () => {
  const self = await procProcessTable.self()
  strictEqual(self.pid, process.pid)
  deepStrictEqual(await procProcessTable.find(process.pid), self)
  strictEqual(await procProcessTable.find(2 ** 30), undefined)
})
