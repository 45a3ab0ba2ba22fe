/**
 * One real process of the product in a soak, started from its settings file and ended by its own process id.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, openSync } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { setTimeout as pause } from 'node:timers/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { z } from 'zod'
import { clockMs } from '../../common/clockMs.js'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakLog } from './SoakLog.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSeat } from './SoakSeat.js'

const wrapper = fileURLToPath(new URL('heldNode.js', import.meta.url))
/** How long after its start a process may be without ears for signals: until its runtime is up, any signal ends it. */
const deafMs = 1000
const Late = z.object({ lateMs: z.number() })
const Turn = z.object({ longestMs: z.number() })

export class SoakNode {
  readonly seat: SoakSeat
  readonly #dialect: SoakDialect
  readonly #entry: string
  readonly #folder: string
  readonly #log: SoakLog
  #child: ChildProcess | undefined
  #cut: readonly string[] = []
  #mayEnd = false
  #starts = 0
  #startedMs = 0

  constructor(seat: SoakSeat, dialect: SoakDialect, entry: string, folder: string, log: SoakLog) {
    this.seat = seat
    this.#dialect = dialect
    this.#entry = entry
    this.#folder = folder
    this.#log = log
  }

  get running(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Of the newest process, while it runs. */
  get pid(): number | undefined {
    return this.running ? this.#child?.pid : undefined
  }

  get memoryMb(): number {
    return this.#dialect.memoryMb[this.seat.role]
  }

  async start(): Promise<void> {
    const { name, role, bootstrap } = this.seat
    const file = join(this.#folder, `${name}.toml`)
    this.#starts += 1
    this.#startedMs = clockMs()
    this.#log.starts.push({ who: name, atMs: this.#startedMs })
    await writeFile(file, this.#dialect.settings({ ...this.seat, bootstrap: bootstrap && this.#starts === 1 }))
    const log = openSync(join(this.#folder, `${name}.log`), 'a')
    const child = spawn(process.execPath, [...this.#dialect.runtimeFlags[role], wrapper, this.#entry, role], {
      stdio: ['ignore', log, log, 'ipc'],
      env: { PATH: process.env['PATH'], HOME: process.env['HOME'], [this.#dialect.settingsVariable]: file },
    })
    closeSync(log)
    this.#child = child
    this.#mayEnd = false
    child.on('error', (error) => {
      this.#log.ended.push(`${name}: ${error.message}`)
    })
    child.once('exit', (code, signal) => {
      if (this.#child === child && !this.#mayEnd) this.#log.ended.push(`${name}: exit ${String(code ?? signal)}`)
    })
    child.on('message', (message) => {
      const turn = Turn.safeParse(message)
      if (turn.success) this.#log.turns.push({ who: name, longestMs: turn.data.longestMs })
      const told = Late.safeParse(message)
      const toMs = clockMs()
      if (told.success) this.#log.spans.push({ who: name, kind: 'late', fromMs: toMs - told.data.lateMs, toMs })
    })
    this.#tell()
  }

  signal(signal: 'SIGSTOP' | 'SIGCONT'): void {
    if (this.running) this.#child?.kill(signal)
  }

  /** Says that its settings have changed; a process that was just started hears of it a moment later. */
  async reload(): Promise<void> {
    const child = this.#child
    await pause(Math.max(0, this.#startedMs + deafMs - clockMs()))
    if (child === this.#child && this.running) child?.kill('SIGHUP')
  }

  async kill(): Promise<void> {
    const child = this.#child
    if (child === undefined || !this.running) return
    this.#mayEnd = true
    const gone = once(child, 'exit')
    child.kill('SIGKILL')
    await gone
  }

  /** Asks it to end, and ends it when its time for that is over. */
  async stop(): Promise<void> {
    const child = this.#child
    if (child === undefined || !this.running) return
    this.#mayEnd = true
    const gone = once(child, 'exit')
    const stopped = { who: this.seat.name, termMs: clockMs(), endMs: Infinity, killed: false, code: undefined }
    child.kill('SIGTERM')
    const over = new AbortController()
    const late = pause(SoakScene.graceMs, true, { signal: over.signal }).catch(() => false)
    const killed = await Promise.race([gone.then(() => false), late])
    over.abort()
    if (killed) child.kill('SIGKILL')
    await gone
    this.#log.stops.push({ ...stopped, endMs: clockMs(), killed, code: child.exitCode ?? undefined })
  }

  /** Cuts it off from these addresses, also when it is started anew. */
  cut(hosts: readonly string[]): void {
    this.#cut = hosts
    this.#tell()
  }

  #tell(): void {
    if (!this.running || this.#child?.connected !== true) return
    this.#child.send({ cut: this.#cut }, () => undefined)
  }
}
