/**
 * The last line of a process that ends on an error that nobody caught.
 */
import { match, strictEqual } from 'node:assert'
import { spawnSync } from 'node:child_process'
import { test } from 'node:test'

const module = JSON.stringify(new URL('endOnDefect.js', import.meta.url).href)
const program = (body: string) =>
  `import { endOnDefect } from ${module}\nendOnDefect((line) => process.stderr.write(line + '\\n'))\n${body}\nsetInterval(() => {}, 1000)`

for (const [origin, body] of [
  ['uncaughtException', "setTimeout(() => { throw new Error('lost count') }, 1)"],
  ['unhandledRejection', "void Promise.reject(new Error('lost count'))"],
] as const)
  test(`an ${origin} ends a process with one line that says what and where, and a code of its own`, () => {
    const { status, stderr } = spawnSync(process.execPath, ['--input-type=module', '-e', program(body)], { encoding: 'utf8' })
    strictEqual(status, 70)
    match(
      stderr,
      new RegExp(`^ends on a defect \\(${origin}\\): Error: lost count at .*; memory \\d+ MB, heap \\d+ MB, external \\d+ MB\\n$`),
    )
  })
