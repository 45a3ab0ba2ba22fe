/**
 * Starts of a control node whose data folder can't be used yet.
 */
import { deepStrictEqual, rejects, strictEqual } from 'node:assert'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { StartWait } from '../common/StartWait.js'
import { nodeFileSystem } from './nodeFileSystem.js'
import { openLog } from './openLog.js'
import type { ProcessTable } from './ProcessTable.js'

const holder = { pid: 77, started: '1000', boot: 'boot-a' }
const never = new AbortController().signal
const patient = () => new StartWait(() => undefined, never)

async function emptyFolder(context: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'open-'))
  context.after(() => rm(folder, { recursive: true }))
  return folder
}

// Guards against a control node that ends at its start as its predecessor has not ended yet.
test('a folder that a predecessor holds is opened once the predecessor has ended', async (context) => {
  const folder = await emptyFolder(context)
  await writeFile(join(folder, 'lock'), JSON.stringify(holder))
  let seen = 0
  const processes: ProcessTable = {
    self: () => Promise.resolve({ pid: 5, started: '2000', boot: 'boot-a' }),
    find: () => {
      seen += 1
      return Promise.resolve(seen < 4 ? holder : undefined)
    },
  }
  const log = await openLog(folder, patient(), { processes })
  strictEqual(seen, 4)
  await log.close()
})

// Guards against a control node that ends at each start for as long as its disk takes no writes.
test('a folder on a disk that takes no writes is opened once it does, and keeps its records', async (context) => {
  const folder = await emptyFolder(context)
  const before = await openLog(folder, patient())
  await before.append([Buffer.from('kept')])
  await before.close()
  let refusals = 3
  const full = Object.assign(new Error('no space left on device'), { code: 'ENOSPC' })
  const files = {
    ...nodeFileSystem,
    open: async (path: string) => {
      const file = await nodeFileSystem.open(path)
      if (file === undefined) return undefined
      return {
        ...file,
        append: (bytes: Uint8Array) => {
          refusals -= 1
          return refusals >= 0 ? Promise.reject(full) : file.append(bytes)
        },
      }
    },
  }
  const log = await openLog(folder, patient(), { files })
  deepStrictEqual(
    log.records.map((record) => Buffer.from(record).toString()),
    ['kept'],
  )
  await log.close()
})

test('a log that is damaged ends the start at once', async (context) => {
  const folder = await emptyFolder(context)
  await writeFile(join(folder, 'log'), 'no log of this program')
  await rejects(openLog(folder, patient()), { kind: 'foreign' })
})
