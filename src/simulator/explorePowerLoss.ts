/**
 * Explores what losses of power and kills do to a log: a schedule by seed gives a log several lives, each ended at some effect of
 * its disk, and then a life that is ended at each of its effects in turn. After each end the log is opened again and
 * compared with what it had acknowledged.
 */
import { Random } from '../common/Random.js'
import { FileWriteAheadLog } from '../storage/FileWriteAheadLog.js'
import type { FileSystem } from '../storage/FileSystem.js'
import type { ProcessTable } from '../storage/ProcessTable.js'
import type { StorageParts } from '../storage/StorageParts.js'
import { PowerLossDisk } from './PowerLossDisk.js'
import { StorageHistory } from './StorageHistory.js'

/** A broken variant for the proof that the explorer finds it. */
interface Broken {
  readonly files?: (files: FileSystem) => FileSystem
  readonly parts?: Partial<StorageParts>
}

interface Exploration {
  readonly ends: number
  readonly findings: string[]
}

const folder = '/data'
const steps = 4
const earlierLives = 3
const tearsAnEnd = 3

/** A process with the number of each former one runs, yet it began at another time. */
const processes: ProcessTable = {
  self: () => Promise.resolve({ pid: 2, started: '1', boot: 'b' }),
  find: (pid) => Promise.resolve({ pid, started: '0', boot: 'b' }),
}

class Schedule {
  readonly #disk: PowerLossDisk
  readonly #history = new StorageHistory()
  readonly #work: Random
  readonly #broken: Broken
  #written = 0

  constructor(seed: number, broken: Broken) {
    this.#work = new Random(seed)
    this.#disk = new PowerLossDisk(this.#work.fork())
    this.#broken = broken
  }

  /** Opens the log, works, and ends at an effect. Gives whether it got that far, or what it found wrong. */
  async live(endAt: number, ending: Random): Promise<boolean | string> {
    let effects = 0
    const { files, stop } = this.#disk.start()
    const ended = new Promise<boolean>((resolve) => {
      this.#disk.watch = () => {
        if (effects++ < endAt) return false
        resolve(true)
        return true
      }
    })
    const result = await Promise.race([ended, this.#run(files)])
    stop()
    if (ending.hit(0.75)) this.#disk.cutPower(ending)
    return result
  }

  /** False when all work was done, or what was wrong. */
  async #run(files: FileSystem): Promise<false | string> {
    const random = this.#work.fork()
    try {
      const log = await FileWriteAheadLog.open(folder, {
        processes,
        randomBytes: (count) => Buffer.from(Array.from({ length: count }, () => random.below(256))),
        files: this.#broken.files?.(files) ?? files,
        ...this.#broken.parts,
      })
      const wrong = this.#history.opened(log.records.map((record) => Buffer.from(record).toString()))
      if (wrong !== undefined) return wrong
      for (let step = 0; step < steps; step++) await this.#step(log, random)
      return false
    } catch (error) {
      return error instanceof Error ? error.message : String(error)
    }
  }

  async #step(log: FileWriteAheadLog, random: Random): Promise<void> {
    const calls = Array.from({ length: 1 + random.below(3) }, () =>
      random.hit(0.15) ? this.#rewrite(log, random) : this.#append(log, random),
    )
    if (random.hit(0.7)) await Promise.all(calls)
  }

  #append(log: FileWriteAheadLog, random: Random): Promise<void> {
    const records = this.#draw(random)
    const done = this.#history.begin({ kind: 'append', records })
    return log.append(records.map((record) => Buffer.from(record))).then(done)
  }

  #rewrite(log: FileWriteAheadLog, random: Random): Promise<void> {
    const records = this.#draw(random)
    const done = this.#history.begin({ kind: 'rewrite', records })
    return log.rewrite(records.map((record) => Buffer.from(record))).then(done)
  }

  #draw(random: Random): string[] {
    return Array.from({ length: 1 + random.below(4) }, () => {
      this.#written += 1
      return `${String(this.#written)} `.padEnd(8 + random.below(random.hit(0.2) ? 400 : 40), 'x')
    })
  }
}

/** Gives the lives before the last, then the last up to an effect, then two more that must open. */
async function explore(
  seed: number,
  endAt: number,
  tear: number,
  broken: Broken,
): Promise<{ reached: boolean; wrong: string | undefined }> {
  const schedule = new Schedule(seed, broken)
  const earlier = new Random(seed + 1)
  const last = new Random(seed * 1000 + endAt * 10 + tear)
  const lives = earlier.below(earlierLives)
  for (let life = 0; life < lives; life++) {
    const result = await schedule.live(earlier.below(30), earlier)
    if (typeof result === 'string') return { reached: false, wrong: result }
  }
  const reached = await schedule.live(endAt, last)
  if (typeof reached === 'string') return { reached: false, wrong: reached }
  for (let life = 0; life < 2; life++) {
    const result = await schedule.live(life === 0 ? last.below(12) : Infinity, last)
    if (typeof result === 'string') return { reached, wrong: result }
  }
  return { reached, wrong: undefined }
}

export async function explorePowerLoss(seeds: readonly number[], broken: Broken = {}, mostFindings = 1): Promise<Exploration> {
  const findings: string[] = []
  let ends = 0
  for (const seed of seeds) {
    let reached = true
    for (let endAt = 0; reached; endAt++) {
      for (let tear = 0; tear < tearsAnEnd; tear++) {
        const result = await explore(seed, endAt, tear, broken)
        reached = result.reached
        ends += 1
        if (result.wrong === undefined) continue
        findings.push(`seed ${String(seed)}, end at effect ${String(endAt)}, tear ${String(tear)}: ${result.wrong}`)
        if (findings.length >= mostFindings) return { ends, findings }
      }
    }
  }
  return { ends, findings }
}
