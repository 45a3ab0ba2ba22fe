/**
 * The contract that each store must pass. `open` opens the same store again after it was closed.
 */
import { deepStrictEqual, ok } from 'node:assert'
import type { WriteAheadLog } from './WriteAheadLog.js'

export async function writeAheadLogContract(open: () => Promise<WriteAheadLog>): Promise<void> {
  const text = (writeAheadLog: WriteAheadLog) => writeAheadLog.records.map((record) => Buffer.from(record).toString())
  const write = (...lines: string[]) => lines.map((line) => Buffer.from(line))
  const first = await open()
  deepStrictEqual(text(first), [])
  await Promise.all([first.append(write('a', 'b')), first.append([]), first.append(write('c'))])
  await first.close()
  const second = await open()
  deepStrictEqual(text(second), ['a', 'b', 'c'])
  const before = second.bytes
  const early = second.append(write('lost to the rewrite'))
  const rewritten = second.rewrite(write('z'))
  const late = second.append(write('y'))
  await Promise.all([early, rewritten, late])
  ok(second.bytes < before)
  await second.close()
  const third = await open()
  deepStrictEqual(text(third), ['z', 'y'])
  await third.close()
}
