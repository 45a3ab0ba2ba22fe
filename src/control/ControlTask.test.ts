/**
 * The end of a control node whose disk still writes.
 */
import { deepStrictEqual } from 'node:assert'
import { setTimeout as pause } from 'node:timers/promises'
import { test } from 'node:test'
import { Logger } from '../common/Logger.js'
import { Meters } from '../common/Meters.js'
import { Startup } from '../common/Startup.js'
import type { WriteAheadLog } from '../storage/WriteAheadLog.js'
import { ControlTask } from './ControlTask.js'

/** A node that founds its core alone writes so often until it leads it. */
const writesUntilLed = 3

/** A log on a disk whose every sync ends when the test says so. */
class HeldLog implements WriteAheadLog {
  readonly records: readonly Uint8Array[] = []
  readonly bytes = 0
  /** Writes that were begun after the close. */
  late = 0
  #isClosed = false
  #syncs: (() => void)[] = []

  get writing(): boolean {
    return this.#syncs.length > 0
  }

  append(): Promise<void> {
    if (this.#isClosed) this.late += 1
    return new Promise((resolve) => this.#syncs.push(resolve))
  }

  rewrite(): Promise<void> {
    return this.append()
  }

  close(): Promise<void> {
    this.#isClosed = true
    return Promise.resolve()
  }

  sync(): void {
    for (const resolve of this.#syncs.splice(0)) resolve()
  }
}

function controlNode(log: WriteAheadLog): ControlTask {
  const startup = Startup.control.parse({
    name: 'core-1',
    zone: 'a',
    transport: '127.0.0.1:1',
    seeds: ['127.0.0.1:1'],
    operators: '127.0.0.1:2',
    data: 'unused',
    bootstrap: true,
    logLevel: 'silent',
    bounds: { recoverMs: 3000 },
  })
  const transport = {
    address: startup.transport,
    cluster: '',
    figures: {},
    send: () => undefined,
    hear: () => undefined,
    close: () => Promise.resolve(),
  }
  const platform = {
    list: () => Promise.resolve([]),
    holds: () => Promise.resolve(undefined),
    order: () => Promise.resolve('unknown' as const),
  }
  const logger = new Logger('control', startup.name, 'silent')
  return new ControlTask(startup, logger, transport, log, platform, new Meters('control', startup.name))
}

// Guards against a stop that ends with "the disk failed", as the end of one write begins the next on a log that is closed.
test('a control node that stopped begins no write when the last one ends', { timeout: 20_000 }, async () => {
  for (let writes = 0; writes < writesUntilLed; writes++) {
    const log = new HeldLog()
    const task = controlNode(log)
    for (let ended = 0; ended <= writes; ended++) {
      if (ended > 0) log.sync()
      while (!log.writing) await pause(5)
    }
    await task.stop()
    log.sync()
    await pause(5)
    deepStrictEqual(log.late, 0, `stopped in write ${String(writes + 1)}`)
  }
})
