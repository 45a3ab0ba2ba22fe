/**
 * One real process of the system as a child of the fleet: started from its startup file, signalled by
 * its own process id, its log kept in a file.
 */
import { execFile, spawn, type ChildProcess } from 'node:child_process'
import { openSync, closeSync } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

export class Daemon {
  readonly name: string
  readonly program: 'control' | 'agent' | 'proxy'
  readonly startup: Record<string, unknown>
  readonly #folder: string
  #child: ChildProcess | undefined

  constructor(program: 'control' | 'agent' | 'proxy', folder: string, startup: Record<string, unknown> & { name: string }) {
    this.program = program
    this.name = startup.name
    this.startup = startup
    this.#folder = folder
  }

  async start(): Promise<void> {
    this.leaving = false
    const file = join(this.#folder, `${this.name}.json`)
    await writeFile(file, JSON.stringify(this.startup, null, 2))
    const log = openSync(join(this.#folder, `${this.name}.log`), 'a')
    this.#child = spawn(
      process.execPath,
      [fileURLToPath(new URL(`../${this.program}/main.js`, import.meta.url)), 'run', '--startup', file],
      { stdio: ['ignore', log, log] },
    )
    closeSync(log)
  }

  /** Runs another command of the stopped daemon to its end and gives what it printed. */
  async once(...args: string[]): Promise<string> {
    const program = fileURLToPath(new URL(`../${this.program}/main.js`, import.meta.url))
    const [command = '', ...flags] = args
    return new Promise((resolve, reject) => {
      execFile(process.execPath, [program, command, '--startup', join(this.#folder, `${this.name}.json`), ...flags], (error, out, err) => {
        if (error === null) resolve(out)
        else reject(new Error(`${command} ended badly: ${out}${err}`))
      })
    })
  }

  get running(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
  }

  signal(signal: NodeJS.Signals): void {
    if (this.running) this.#child?.kill(signal)
  }

  /** Stops, or starts, in a planned way: whoever looks at its health goes elsewhere. */
  leaving = false

  async stop(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child
    if (child === undefined || !this.running) return
    this.leaving = signal === 'SIGTERM'
    const gone = once(child, 'exit')
    child.kill('SIGCONT')
    child.kill(signal)
    await gone
  }
}
