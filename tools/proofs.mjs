// Runs every test file, each in its own process, and holds the outcome against KNOWN-RED.txt.
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { run } from 'node:test'
import { spec, tap } from 'node:test/reporters'
import { knownRed } from './knownRed.mjs'

const under = (folder, ending) =>
  (existsSync(folder) ? readdirSync(folder, { recursive: true }) : [])
    .filter((name) => name.endsWith(ending))
    .map((name) => resolve(join(folder, name)))
const files = [...under('dist', '.test.js'), ...under('tools', '.test.mjs')].sort()
if (!files.some((file) => file.endsWith('.test.js'))) {
  console.error('proofs: no test file in dist; build first')
  process.exit(1)
}
const listed = knownRed.read(existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '')

let judged = false
const ran = []
/** Lets the events through, and says what the list makes of them just before the summary. */
async function* judge(events) {
  for await (const event of events) {
    const { type, data } = event
    if ((type === 'test:pass' || type === 'test:fail') && data.nesting === 0)
      ran.push({ name: data.name, passed: type === 'test:pass', isFile: files.includes(resolve(data.name)) })
    if (!judged && type === 'test:diagnostic' && data.nesting === 0 && /^tests \d+$/.test(data.message)) {
      judged = true
      const { passedOver, wrong } = knownRed.judge(listed, ran)
      for (const message of [...passedOver, ...wrong]) yield { type, data: { ...data, message } }
      process.exitCode = wrong.length === 0 ? 0 : 1
    }
    yield event
  }
}
process.once('exit', () => {
  if (!judged) process.exitCode = 1
})
run({ files, concurrency: true })
  .compose(judge)
  .compose(process.stdout.isTTY ? new spec() : tap)
  .pipe(process.stdout)
