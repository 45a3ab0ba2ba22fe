import { test } from 'node:test'
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
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

const texts = (disk: SimDisk) => disk.records.map((record) => Buffer.from(record).toString()).join('')
const bytes = (text: string) => [...text].map((letter) => Buffer.from(letter))
const nothing = () => undefined

/** What stands on the disk after a loss of power, with each number of times, for a synced write and three in flight. */
function outcomes(rewrite: boolean, lies: boolean): Map<string, number> {
  const counts = new Map<string, number>()
  for (let seed = 0; seed < 4000; seed++) {
    const clock = new SimClock()
    const disk = new SimDisk(clock, new Chances(seed))
    disk.lies = lies
    disk.write(bytes('ab'), false, nothing)
    clock.until(10_000)
    disk.write(bytes('cd'), false, nothing)
    disk.write(bytes('ef'), rewrite, nothing)
    disk.write(bytes('g'), false, nothing)
    disk.cutPower()
    counts.set(texts(disk), (counts.get(texts(disk)) ?? 0) + 1)
  }
  return counts
}

test('a loss of power keeps what was synced, and of several writes in flight each prefix at some time', () => {
  const counts = outcomes(false, false)
  deepStrictEqual([...counts.keys()].sort(), ['ab', 'abc', 'abcd', 'abcde', 'abcdef', 'abcdefg'])
  const gone = (counts.get('ab') ?? 0) / 4000
  ok(gone > 0.4 && gone < 0.75, `all gone in ${String(gone)}`)
})

test('a rewrite in flight is kept whole or not at all, and writes after it only with it', () => {
  deepStrictEqual([...outcomes(true, false).keys()].sort(), ['ab', 'abc', 'abcd', 'ef', 'efg'])
})

test('a disk that lies about its syncs keeps nothing in flight', () => {
  deepStrictEqual([...outcomes(false, true).keys()], ['ab'])
})

test('a write that was cut off never tells that it is done, and the next ones follow what was kept', () => {
  const clock = new SimClock()
  const disk = new SimDisk(clock, new Chances(1))
  let done = 0
  disk.write(bytes('a'), false, () => (done += 1))
  disk.cutPower()
  const kept = texts(disk)
  disk.write(bytes('b'), false, nothing)
  clock.until(10_000)
  strictEqual(done, 0)
  strictEqual(texts(disk), `${kept}b`)
})
