import { test } from 'node:test'
import { ok, rejects, strictEqual } from 'node:assert'
import { Random } from '../common/Random.js'
import { FileWriteAheadLog } from '../storage/FileWriteAheadLog.js'
import type { ProcessTable } from '../storage/ProcessTable.js'
import { PowerLossDisk } from './PowerLossDisk.js'
import { StorageHistory } from './StorageHistory.js'

const processes: ProcessTable = {
  self: () => Promise.resolve({ pid: 2, started: '1', boot: '' }),
  find: () => Promise.resolve(undefined),
}
const bytes = (text: string) => Buffer.from(text.padEnd(300, '.'))

/** Opens, appends and rewrites in turn; gives the log as it was when an operation of the disk failed. */
async function work(disk: PowerLossDisk, history: StorageHistory): Promise<{ log: FileWriteAheadLog | undefined; failed: boolean }> {
  let log: FileWriteAheadLog | undefined
  try {
    log = await FileWriteAheadLog.open('/data', { files: disk.start().files, processes })
    strictEqual(history.opened(log.records.map((record) => Buffer.from(record).toString())), undefined)
    for (const kind of ['append', 'append', 'rewrite', 'append'] as const) {
      const records = [`${kind} 1`, `${kind} 2`]
      const done = history.begin({ kind, records: records.map((record) => bytes(record).toString()) })
      await log[kind](records.map(bytes))
      done()
    }
    return { log, failed: false }
  } catch (error) {
    if (!(error instanceof Error) || error.message !== 'ENOSPC') throw error
    return { log, failed: true }
  }
}

test('a failure of any operation of the disk is final, and the file opens after it with all that was acknowledged', async () => {
  let failed = true
  let failures = 0
  for (let failAt = 0; failed; failAt++)
    for (let seed = 0; seed < 20; seed++) {
      const disk = new PowerLossDisk(new Random(seed))
      const history = new StorageHistory()
      let effects = 0
      disk.watch = () => {
        if (effects++ === failAt) throw new Error('ENOSPC')
        return false
      }
      const result = await work(disk, history)
      failed = result.failed
      if (failed) failures += 1
      if (failed && result.log !== undefined) {
        const effectsBefore = effects
        await rejects(result.log.append([bytes('late')]), /ENOSPC/)
        await rejects(result.log.rewrite([bytes('late')]), /ENOSPC/)
        strictEqual(effects, effectsBefore)
      }
      disk.watch = () => false
      if (seed % 2 === 0) disk.cutPower(new Random(seed))
      const log = await FileWriteAheadLog.open('/data', { files: disk.start().files, processes })
      strictEqual(history.opened(log.records.map((record) => Buffer.from(record).toString())), undefined)
    }
  ok(failures > 400, `${String(failures)} failures`)
})
