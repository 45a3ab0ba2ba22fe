/**
 * `signalbox refound`: founds a core again from this machine's data folder, after the disks of a majority
 * are gone for good. Without `--yes` it only tells what it would do and what may be lost.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { proof } from '../gauge/proof.js'
import { Startup } from '../gauge/Startup.js'
import { Command } from '../interlocking/Command.js'
import { refound } from '../interlocking/refound.js'
import { Sheet } from '../interlocking/Sheet.js'
import { FileWaybill } from '../waybill/FileWaybill.js'

export async function foundAgain(startup: Startup['signalbox'], sure: boolean, say: (line: string) => void): Promise<number> {
  const waybill = await FileWaybill.open(startup.data)
  try {
    const system = crypto.randomUUID().slice(0, 13)
    const again = refound(waybill.records, { seat: startup.name, address: startup.telegraph, system })
    if (again === undefined) {
      say(`${startup.data} holds no core; nothing can be founded from it.`)
      return 1
    }
    say(`The log in ${startup.data} ends at ${String(again.lastIndex)}; its charter has stamp ${String(again.charterStamp)}.`)
    say(
      `Given up for good: ${again.givenUp.join(', ')}. Whatever only they had acknowledged after that is lost: compare with your operators' last stamps.`,
    )
    if (!sure) {
      say('Nothing was changed. Stop the other core machines, then say it again with --yes.')
      return 0
    }
    await waybill.rewrite(again.records)
    say(
      `Founded again as system ${system}. Start this machine; start the others empty with "system": "${system}", and restart every lineman with the same.`,
    )
    return 0
  } finally {
    await waybill.close()
  }
}

proof(import.meta.url, {
  'it tells first, does it only when sure, and an empty folder is turned away': async () => {
    const data = await mkdtemp(join(tmpdir(), 'refound-'))
    const startup = Startup.signalbox.parse({
      name: 'box-1',
      zone: 'a',
      telegraph: '127.0.0.1:1',
      operators: '127.0.0.1:2',
      seeds: ['127.0.0.1:1'],
      seats: ['box-1'],
      data,
    })
    const lines: string[] = []
    const run = (sure: boolean) => foundAgain(startup, sure, (line) => lines.push(line))
    strictEqual(await run(true), 1)
    const waybill = await FileWaybill.open(data)
    const members = ['box-1', 'box-2'].map((seat) => ({ identity: `${seat}.1`, seat, address: '127.0.0.1:1', voter: true }))
    await waybill.append([
      Sheet.encode({ kind: 'identity', identity: 'box-1.1', system: 'old' }),
      Sheet.encode({ kind: 'entry', index: 1, term: 1, type: 'members', bytes: Buffer.from(JSON.stringify(members)) }),
      Sheet.encode({
        kind: 'entry',
        index: 2,
        term: 1,
        type: 'command',
        bytes: Command.encode({ kind: 'found', system: 'old', again: false }),
      }),
    ])
    await waybill.close()
    const kinds = async () => {
      const file = await FileWaybill.open(data)
      await file.close()
      return file.records.map((record) => Sheet.decode(record)?.kind)
    }
    strictEqual(await run(false), 0)
    deepStrictEqual(await kinds(), ['identity', 'entry', 'entry'])
    strictEqual(await run(true), 0)
    deepStrictEqual(await kinds(), ['identity', 'term', 'view'])
    strictEqual(
      lines.some((line) => line.startsWith('Given up for good: box-2.')),
      true,
    )
    await rm(data, { recursive: true })
  },
})
