/**
 * Many seeds of a soak, each in a process of its own and a few at a time; one seed alone runs in this process.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { loadDialect } from './loadDialect.js'
import { runSoak } from './runSoak.js'
import type { soakSizes } from './soakSizes.js'

interface Asked {
  seeds: readonly number[]
  size: keyof typeof soakSizes
  seconds: number
  parallel: number
  dialect: string
  /** Another build of the product's program than the dialect names. */
  entry: string | undefined
  keep: boolean
  say: (line: string) => void
}

const signals: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGHUP']

async function alone(seed: number, { size, seconds, dialect, entry, keep }: Asked): Promise<{ passes: boolean; text: string }> {
  const own = process.argv[1] ?? ''
  const flags = ['--seeds', String(seed), '--size', size, '--seconds', String(seconds), '--dialect', dialect]
  const more = [...(entry === undefined ? [] : ['--entry', entry]), ...(keep ? ['--keep'] : [])]
  const child = spawn(process.execPath, [own, 'soak', ...flags, ...more], { stdio: ['ignore', 'pipe', 'inherit'] })
  const end = () => child.kill('SIGTERM')
  for (const signal of signals) process.once(signal, end)
  let text = ''
  child.stdout.setEncoding('utf8').on('data', (part) => {
    text += String(part)
  })
  await once(child, 'close')
  for (const signal of signals) process.off(signal, end)
  return { passes: child.exitCode === 0, text: text.trimEnd() }
}

export async function soak(asked: Asked): Promise<boolean> {
  const { seeds, size, seconds, keep, say } = asked
  const [only] = seeds
  if (only !== undefined && seeds.length === 1) {
    const dialect = await loadDialect(asked.dialect)
    const folder = await mkdtemp(join(tmpdir(), `soak-${String(only)}-`))
    return runSoak({ seed: only, size, seconds, folder, entry: asked.entry ?? dialect.entry, dialect, keep, say })
  }
  const waiting = [...seeds]
  const failed: number[] = []
  const end = () => {
    waiting.length = 0
  }
  for (const signal of signals) process.once(signal, end)
  const worker = async () => {
    for (let seed = waiting.shift(); seed !== undefined; seed = waiting.shift()) {
      const { passes, text } = await alone(seed, asked)
      say(text)
      if (!passes) failed.push(seed)
    }
  }
  await Promise.all(Array.from({ length: asked.parallel }, worker))
  for (const signal of signals) process.off(signal, end)
  const failures = failed.length === 0 ? '' : `: ${failed.join(', ')}`
  say(`${String(seeds.length)} seeds, ${String(failed.length)} failed${failures}`)
  return failed.length === 0
}
