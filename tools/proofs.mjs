// Runs every test file, each in its own process, and holds the outcome against KNOWN-RED.txt. Files that end in `.crowd.test.js` run
// alone, one after the other, once all others have ended.
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { finished } from 'node:stream/promises'
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

const isAlone = (file) => file.endsWith('.crowd.test.js')
const stages = [
  { files: files.filter((file) => !isAlone(file)), concurrency: true },
  { files: files.filter(isAlone), concurrency: 1 },
].filter((stage) => stage.files.length > 0)

let judged = false
const ran = []
const reporter = () => (process.stdout.isTTY ? new spec() : tap)
/** Lets the events through, and says in the last stage what the list makes of all just before the summary. */
const judge = (isLast) =>
  async function* (events) {
    for await (const event of events) {
      const { type, data } = event
      if ((type === 'test:pass' || type === 'test:fail') && data.nesting === 0)
        ran.push({ name: data.name, passed: type === 'test:pass', isFile: files.includes(resolve(data.name)) })
      if (isLast && !judged && type === 'test:diagnostic' && data.nesting === 0 && /^tests \d+$/.test(data.message)) {
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
for (const stage of stages) {
  const told = run(stage)
    .compose(judge(stage === stages.at(-1)))
    .compose(reporter())
  told.pipe(process.stdout, { end: false })
  await finished(told)
}
