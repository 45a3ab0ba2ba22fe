/**
 * A runbook: variables, then steps that each do something, ask a person to do something, or check
 * something. It is checked whole before its first step, each error with its line and reason.
 */
import { deepStrictEqual, match } from 'node:assert'
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import { proof } from '../gauge/proof.js'
import { Tree } from '../gauge/Tree.js'

const Alive = z.enum(['all', 'majority'])
const Check = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('core'), alive: Alive }),
  z.strictObject({ kind: z.literal('seats'), alive: Alive }),
  z.strictObject({ kind: z.literal('member'), seat: z.string(), alive: z.boolean() }),
  z.strictObject({ kind: z.literal('server'), server: z.string(), draining: z.boolean() }),
  z.strictObject({ kind: z.literal('leaf'), path: z.string(), equals: z.json() }),
])
const Do = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('patch'), tree: z.json() }),
  z.strictObject({ kind: z.literal('rollback'), stamp: z.string() }),
  z.strictObject({ kind: z.literal('retire'), seat: z.string() }),
])
const Step = z.union([
  z.strictObject({ title: z.string(), do: Do }),
  z.strictObject({ title: z.string(), ask: z.string() }),
  z.strictObject({ title: z.string(), check: Check, withinMs: z.number().positive().max(3_600_000) }),
])
const Shape = z.strictObject({
  about: z.string(),
  variables: z
    .record(z.string(), z.strictObject({ about: z.string(), names: z.enum(['zone', 'core', 'server', 'seat', 'stamp', 'anything']) }))
    .default({}),
  steps: z.array(Step).min(1),
})

/** The line on which the nth step's title stands. */
function lineOf(text: string, step: number): number {
  let seen = -1
  const lines = text.split('\n')
  for (const [at, line] of lines.entries()) {
    seen += line.match(/"title"\s*:/g)?.length ?? 0
    if (seen >= step) return at + 1
  }
  return 1
}

export const Runbook = {
  /** Reads a runbook, fills its variables in, and checks it against what exists. */
  read(text: string, given: Record<string, string>, exists: Record<string, readonly string[]> | undefined): Either<string[], Runbook> {
    const tree = Tree.read(text)
    if (tree === undefined) return Left(['line 1: not JSON'])
    const plain = Shape.safeParse(tree)
    if (!plain.success) {
      return Left(
        plain.error.issues.map((issue) => {
          const step = issue.path[0] === 'steps' && typeof issue.path[1] === 'number' ? issue.path[1] : undefined
          const why =
            issue.code === 'invalid_union'
              ? 'is no step that is known: do (patch, rollback, retire), ask, or check (core, seats, member, server, leaf) with withinMs'
              : issue.message
          return `line ${String(step === undefined ? 1 : lineOf(text, step))}: ${issue.path.join('.')}: ${why}`
        }),
      )
    }
    const errors: string[] = []
    for (const [name, { about, names }] of Object.entries(plain.data.variables)) {
      const value = given[name]
      const known = exists?.[names]
      if (value === undefined) errors.push(`line 1: ${name} is not set (${about}); use --set ${name}=...`)
      else if (known?.includes(value) === false)
        errors.push(`line 1: ${name}: there is no ${names} ${value}; there are: ${known.join(', ')}`)
    }
    for (const name of Object.keys(given))
      if (!Object.hasOwn(plain.data.variables, name)) errors.push(`line 1: no variable is named ${name}`)
    plain.data.steps.forEach((step, at) => {
      for (const [, name] of JSON.stringify(step).matchAll(/\$\{([^}]*)\}/g)) {
        if (name !== undefined && !Object.hasOwn(plain.data.variables, name))
          errors.push(`line ${String(lineOf(text, at))}: ${name} is not among the variables`)
      }
    })
    if (errors.length > 0) return Left(errors)
    const filled = JSON.stringify(plain.data).replace(/\$\{([^}]*)\}/g, (whole, name: string) => {
      const value = given[name]
      return value === undefined ? whole : JSON.stringify(value).slice(1, -1)
    })
    return Right(Shape.parse(JSON.parse(filled)))
  },
}
export type Runbook = z.infer<typeof Shape>

const text = `{ "about": "x", "variables": { "zone": { "about": "which", "names": "zone" } },
 "steps": [
  { "title": "one", "do": { "kind": "patch", "tree": { "zones": { "\${zone}": {} } } } },
  { "title": "two", "check": { "kind": "leaf", "path": "zones.\${zone}", "equals": {} }, "withinMs": 5 } ] }`
proof(import.meta.url, {
  'variables are filled in everywhere': () => {
    const book = Runbook.read(text, { zone: 'b' }, { zone: ['a', 'b'] })
      .toMaybe()
      .extractNullable()
    deepStrictEqual(book?.steps[0], { title: 'one', do: { kind: 'patch', tree: { zones: { b: {} } } } })
  },
  'an unknown step, a missing variable and a target that is not there are told with line and reason': () => {
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
  },
})
