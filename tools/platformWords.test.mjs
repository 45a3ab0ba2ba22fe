// The product speaks its own words only: the headers, fields and paths of the users' platform stand under platform/.
import { deepStrictEqual } from 'node:assert'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

const words = [
  'attempt-id',
  'deadline-ms',
  'server-seal',
  'not-executed',
  'target-instance',
  'prompt-prefix',
  'model-name',
  'token-count',
  'instance_id',
  'call_sequence',
  'fence_token',
  '/v1/configuration',
  '/v1/evacuation',
  '/instances',
  'SPRINGPADDLE_BOOT',
].map((word) => word.toLowerCase())

const found = (folder) =>
  readdirSync(folder, { recursive: true })
    .filter((name) => name.endsWith('.ts'))
    .flatMap((name) => {
      const text = readFileSync(join(folder, name), 'utf8').replaceAll('\\/', '/').toLowerCase()
      return words.filter((word) => text.includes(word)).map((word) => `${join(folder, name)}: ${word}`)
    })

test('no file under src holds a word of the platform', () => {
  deepStrictEqual(found('src'), [])
})

test('every word that is looked for stands somewhere under platform', () => {
  const seen = new Set(found('platform').map((line) => line.slice(line.indexOf(': ') + 2)))
  deepStrictEqual(
    words.filter((word) => !seen.has(word)),
    [],
  )
})
