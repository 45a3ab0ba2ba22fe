import { test } from 'node:test'
import { Chance as Chances } from '../gauge/Chance.js'
import type { Waybill } from '../waybill/Waybill.js'
import { waybillContract } from '../waybill/waybillContract.js'
import { SimClock } from './SimClock.js'
import { SimDisk } from './SimDisk.js'

test('passes the contract of stores', async () => {
  const clock = new SimClock()
  const disk = new SimDisk(clock, new Chances(1))
  const write = (records: readonly Uint8Array[], rewrite: boolean) =>
    new Promise<void>((resolve) => {
      disk.write(records, rewrite, resolve)
    })
  await waybillContract(() => {
    const waybill: Waybill = {
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
    return Promise.resolve(waybill)
  })
})
