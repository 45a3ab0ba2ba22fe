/**
 * A runbook: variables, then steps that each do something, ask a person to do something, or check
 * something. It is checked whole before its first step, each error with its line and reason.
 */
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import { Tree } from '../common/Tree.js'

const Alive = z.enum(['all', 'majority'])
const Check = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('core'), alive: Alive }),
  z.strictObject({ kind: z.literal('seats'), alive: Alive }),
  z.strictObject({ kind: z.literal('renewed'), seat: z.string() }),
  z.strictObject({ kind: z.literal('member'), seat: z.string(), alive: z.boolean() }),
  z.strictObject({ kind: z.literal('server'), server: z.string(), draining: z.boolean() }),
  z.strictObject({ kind: z.literal('leaf'), path: z.string(), equals: z.json() }),
])
const Do = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('patch'), tree: z.json() }),
  z.strictObject({ kind: z.literal('rollback'), stamp: z.string() }),
  z.strictObject({ kind: z.literal('retire'), seat: z.string() }),
])
/** A step for each server, core machine or seat there is; neighbours of one kind go together, name by name. */
const each = z.enum(['server', 'core', 'seat']).optional()
const Step = z.union([
  z.strictObject({ title: z.string(), each, do: Do }),
  z.strictObject({ title: z.string(), each, ask: z.string() }),
  z.strictObject({ title: z.string(), each, check: Check, withinMs: z.number().positive().max(3_600_000) }),
])
type Step = z.infer<typeof Step>
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

/** Writes out the steps that are meant for each of several names. */
function repeat(steps: readonly Step[], exists: Record<string, readonly string[]> | undefined): Step[] {
  const out: Step[] = []
  for (let at = 0; at < steps.length;) {
    const kind = steps[at]?.each
    let end = at + 1
    while (kind !== undefined && steps[end]?.each === kind) end += 1
    const block = steps.slice(at, end)
    const names = kind === undefined ? undefined : exists?.[kind]
    if (names === undefined) out.push(...block)
    else
      for (const name of names) out.push(...block.map((step) => Step.parse(JSON.parse(JSON.stringify(step).replaceAll('${each}', name)))))
    at = end
  }
  return out
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
              ? 'is no step that is known: do (patch, rollback, retire), ask, or check (core, seats, renewed, member, server, leaf) with withinMs'
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
        if (name === 'each' && step.each !== undefined) continue
        if (name !== undefined && !Object.hasOwn(plain.data.variables, name))
          errors.push(`line ${String(lineOf(text, at))}: ${name} is not among the variables`)
      }
    })
    if (errors.length > 0) return Left(errors)
    const filled = JSON.stringify(plain.data).replace(/\$\{([^}]*)\}/g, (whole, name: string) => {
      const value = given[name]
      return value === undefined ? whole : JSON.stringify(value).slice(1, -1)
    })
    const book = Shape.parse(JSON.parse(filled))
    return Right({ ...book, steps: repeat(book.steps, exists) })
  },
}
export type Runbook = z.infer<typeof Shape>
