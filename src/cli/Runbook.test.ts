import { test } from 'node:test'
import { deepStrictEqual, match } from 'node:assert'
import { Runbook } from './Runbook.js'

const text = `{ "about": "x", "variables": { "zone": { "about": "which", "names": "zone" } },
 "steps": [
  { "title": "one", "do": { "kind": "patch", "tree": { "zones": { "\${zone}": {} } } } },
  { "title": "two", "check": { "kind": "leaf", "path": "zones.\${zone}", "equals": {} }, "withinMs": 5 } ] }`

test('variables are filled in everywhere', () => {
  const book = Runbook.read(text, { zone: 'b' }, { zone: ['a', 'b'] })
    .toMaybe()
    .extractNullable()
  deepStrictEqual(book?.steps[0], { title: 'one', do: { kind: 'patch', tree: { zones: { b: {} } } } })
})

test('steps for each name are written out name by name', () => {
  const body = JSON.stringify({
    about: 'x',
    steps: [
      { title: 'drain ${each}', each: 'server', ask: 'a ${each}' },
      { title: 'swap ${each}', each: 'server', ask: 'b ${each}' },
      { title: 'end', ask: 'c' },
    ],
  })
  const book = Runbook.read(body, {}, { server: ['s', 't'] })
    .toMaybe()
    .extractNullable()
  deepStrictEqual(
    book?.steps.map((step) => step.title),
    ['drain s', 'swap s', 'drain t', 'swap t', 'end'],
  )
  match(Runbook.read(body.replace('"c"', '"${each}"'), {}, {}).swap().orDefault([]).join(), /each is not among the variables/)
})

test('an unknown step, a missing variable and a target that is not there are told with line and reason', () => {
  const errors = (body: string, given: Record<string, string>) =>
    Runbook.read(body, given, { zone: ['a', 'b'] })
      .swap()
      .orDefault([])
      .join('\n')
  match(errors(text.replace('"kind": "leaf"', '"kind": "leave"'), { zone: 'b' }), /line 4: steps\.1: is no step/)
  match(errors(text, {}), /zone is not set \(which\)/)
  match(errors(text, { zone: 'q' }), /there is no zone q; there are: a, b/)
  match(errors(text.replace('zones.${zone}', 'zones.${zoo}'), { zone: 'b' }), /line 4: zoo is not among/)
  match(errors(text, { zone: 'b', zoo: 'x' }), /no variable is named zoo/)
})
