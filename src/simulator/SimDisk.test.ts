import { test } from 'node:test'
import { Random as Chances } from '../common/Random.js'
import type { WriteAheadLog } from '../storage/WriteAheadLog.js'
import { writeAheadLogContract } from '../storage/writeAheadLogContract.js'
import { SimClock } from './SimClock.js'
import { SimDisk } from './SimDisk.js'

test('passes the contract of stores', async () => {
  const clock = new SimClock()
  const disk = new SimDisk(clock, new Chances(1))
  const write = (records: readonly Uint8Array[], rewrite: boolean) =>
    new Promise<void>((resolve) => {
      disk.write(records, rewrite, resolve)
    })
  await writeAheadLogContract(() => {
    const writeAheadLog: WriteAheadLog = {
      records: [...disk.records],
      get bytes() {
        return disk.records.reduce((sum, record) => sum + record.length, 0)
      },
      append: (records) => {
        const done = write(records, false)
        setImmediate(() => {
          clock.until(clock.nowMs + 100)
        })
        return done
      },
      rewrite: (records) => {
        const done = write(records, true)
        setImmediate(() => {
          clock.until(clock.nowMs + 100)
        })
        return done
      },
      close: () => Promise.resolve(),
    }
    return Promise.resolve(writeAheadLog)
  })
})
