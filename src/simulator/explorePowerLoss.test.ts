import { test } from 'node:test'
import { deepStrictEqual, match, ok } from 'node:assert'
import type { FileSystem } from '../storage/FileSystem.js'
import { RecordHead } from '../storage/RecordHead.js'
import { scanLog } from '../storage/scanLog.js'
import type { StorageFile } from '../storage/StorageFile.js'
import { explorePowerLoss } from './explorePowerLoss.js'

const seeds = Array.from({ length: 48 }, (_, index) => index + 1)
const nothing = () => Promise.resolve()

/** Leaves out the syncs of files that the predicate names, by how the file came to be and its syncs so far. */
function withoutSyncs(skips: (origin: 'created' | 'opened', nth: number) => boolean) {
  return (files: FileSystem): FileSystem => {
    const wrap = (file: StorageFile | undefined, origin: 'created' | 'opened'): StorageFile | undefined => {
      if (file === undefined) return undefined
      let syncs = 0
      return { ...file, sync: () => (skips(origin, ++syncs) ? nothing() : file.sync()) }
    }
    return {
      ...files,
      open: async (path) => wrap(await files.open(path), 'opened'),
      create: async (path) => wrap(await files.create(path), 'created'),
    }
  }
}

test('after each effect of a schedule, every acknowledged record is there, then a prefix of what was in flight', async () => {
  const { ends, findings } = await explorePowerLoss(seeds)
  deepStrictEqual(findings, [])
  ok(ends > 5000, `${String(ends)} ends`)
})

const broken: Record<string, Parameters<typeof explorePowerLoss>[1]> = {
  'no sync before the promise': { files: withoutSyncs((_, nth) => nth > 1) },
  'no sync of the new file before its rename': { files: withoutSyncs((origin, nth) => origin === 'created' && nth === 1) },
  'no sync at the opening, of a cut or of what a killed process left': {
    files: withoutSyncs((origin, nth) => origin === 'opened' && nth === 1),
  },
  'a cut is not synced before the next write': {
    files: (files) => ({
      ...files,
      open: async (path) => {
        const file = await files.open(path)
        if (file === undefined) return undefined
        let cut = false
        return {
          ...file,
          truncate: async (length) => {
            await file.truncate(length)
            cut = true
          },
          sync: async () => {
            if (!cut) await file.sync()
            cut = false
          },
        }
      },
    }),
  },
  'no sync of the folder after a rename': {
    files: (files) => {
      let renamed = false
      return {
        ...files,
        rename: async (from, to) => {
          await files.rename(from, to)
          renamed = true
        },
        syncFolder: async (path) => {
          if (!renamed) await files.syncFolder(path)
          renamed = false
        },
      }
    },
  },
  'no sync of the folder at the opening': {
    files: (files) => {
      let renamed = false
      return {
        ...files,
        rename: async (from, to) => {
          await files.rename(from, to)
          renamed = true
        },
        syncFolder: async (path) => {
          if (renamed) await files.syncFolder(path)
          renamed = false
        },
      }
    },
  },
  'a torn tail is not cut': {
    files: (files) => ({
      ...files,
      open: async (path) => {
        const file = await files.open(path)
        return file === undefined ? undefined : { ...file, truncate: nothing }
      },
    }),
  },
  'batch starts ignored: any valid head behind a break is damage': {
    parts: {
      scan: (file, header) => {
        const scan = scanLog(file, header)
        for (let at = scan.end + 1; at < file.length; at++)
          if (RecordHead.read(file, at, header.seed) !== undefined) return { ...scan, damagedAt: scan.end }
        return scan
      },
    },
  },
}

for (const [name, variant] of Object.entries(broken))
  test(`the explorer finds: ${name}`, async () => {
    const { findings } = await explorePowerLoss(seeds, variant)
    match(findings[0] ?? 'nothing found', /do not hold the \d+ acknowledged|log of this program|is damaged at offset/)
    console.log(findings[0])
  })
