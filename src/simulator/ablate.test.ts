import { match, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { ablate } from './ablate.js'

test('the table has a row of worths and one for each mechanism, with the spread over the seeds', () => {
  const lines: string[] = []
  ablate([1], ['short-loads'], ['crowd-copies'], (line) => {
    lines.push(line)
  })
  strictEqual(lines.length, 4)
  match(lines[1] ?? '', /^mechanism +short-loads$/)
  match(lines[2] ?? '', /^all +0\.\d{4} \(0\.0000\)$/)
  match(lines[3] ?? '', /^crowd-copies +[+-]\d\.\d{4} \(0\.0000\)$/)
  ok(Number(/0\.\d{4}/.exec(lines[2] ?? '')?.[0]) > 0.85, lines[2])
})
