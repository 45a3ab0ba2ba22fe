/**
 * `control node refound`: founds a core again from this machine's data folder, after the disks of a majority
 * are gone for good. Without `--yes` it only tells what it would do and what may be lost.
 */
import { Startup } from '../common/Startup.js'
import { refound } from '../consensus/refound.js'
import { FileWriteAheadLog } from '../storage/FileWriteAheadLog.js'
import { StorageError } from '../storage/StorageError.js'

async function openLog(folder: string): Promise<FileWriteAheadLog | StorageError> {
  try {
    return await FileWriteAheadLog.open(folder)
  } catch (error) {
    if (error instanceof StorageError) return error
    throw error
  }
}

export async function foundAgain(startup: Startup['control'], sure: boolean, say: (line: string) => void): Promise<number> {
  const writeAheadLog = await openLog(startup.data)
  if (writeAheadLog instanceof StorageError) {
    say(writeAheadLog.message)
    return writeAheadLog.exitCode
  }
  try {
    const system = crypto.randomUUID().slice(0, 13)
    const again = refound(writeAheadLog.records, { seat: startup.name, address: startup.transport, system })
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
    await writeAheadLog.rewrite(again.records)
    say(
      `Founded again as system ${system}. Start this machine; start the others empty with "system": "${system}", and restart every agent with the same.`,
    )
    return 0
  } finally {
    await writeAheadLog.close()
  }
}
