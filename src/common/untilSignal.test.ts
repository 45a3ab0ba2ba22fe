/**
 * A stop that is under way, and signals that come on top of it.
 */
import { deepStrictEqual } from 'node:assert'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { test } from 'node:test'

const program = `
import { untilSignal } from ${JSON.stringify(new URL('untilSignal.js', import.meta.url).href)}
const stopped = untilSignal()
const life = setInterval(() => undefined, 1000)
console.log('up')
const signal = await stopped
console.log('stops')
setTimeout(() => {
  console.log('answered the last after ' + signal)
  clearInterval(life)
  process.exit(0)
}, 300)
`

// Guards against a second SIGTERM that ends a process while it still answers.
test('a second SIGTERM does not cut the stop that the first one began', async () => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', program], { stdio: ['ignore', 'pipe', 'inherit'] })
  let text = ''
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString()
    if (text === 'up\n' || text.endsWith('stops\n')) child.kill('SIGTERM')
  })
  const ended: unknown[] = await once(child, 'close')
  deepStrictEqual(ended, [0, null])
  deepStrictEqual(text.split('\n'), ['up', 'stops', 'answered the last after SIGTERM', ''])
})
