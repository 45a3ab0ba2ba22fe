/**
 * `signalbox refound`: founds a core again from this machine's data folder, after the disks of a majority
 * are gone for good. Without `--yes` it only tells what it would do and what may be lost.
 */
import { Startup } from '../gauge/Startup.js'
import { refound } from '../interlocking/refound.js'
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
