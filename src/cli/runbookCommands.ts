/**
 * `springpaddle runbook`: list, show and run the runbooks that come along, or a file.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { command, flag, multioption, array, option, optional, positional, string, subcommands } from 'cmd-ts'
import { z } from 'zod'
import { Tree } from '../common/Tree.js'
import { CoreClient } from './CoreClient.js'
import { Runbook } from './Runbook.js'
import { RunbookRecord } from './RunbookRecord.js'
import { runRunbook } from './runRunbook.js'

const folder = fileURLToPath(new URL('../../runbooks/', import.meta.url))
const names = (): string[] =>
  readdirSync(folder)
    .filter((name) => name.endsWith('.json'))
    .map((name) => name.slice(0, -5))
    .sort()
const say = (line: string) => {
  process.stdout.write(`${line}\n`)
}
const fail = (lines: readonly string[], code: number) => {
  for (const line of lines) process.stderr.write(`springpaddle: ${line}\n`)
  process.exitCode = code
}
const runbook = positional({ type: string, displayName: 'runbook', description: 'a name from the list, or a file' })

function text(name: string): string | undefined {
  if (names().includes(name)) return readFileSync(`${folder}${name}.json`, 'utf8')
  return existsSync(name) ? readFileSync(name, 'utf8') : undefined
}

/** What there is of each kind that a variable may name; nothing when the core does not answer. */
async function existing(core: CoreClient): Promise<Record<string, string[]> | undefined> {
  const [nodes, servers, history] = [
    await core.ask('GET', '/nodes'),
    await core.ask('GET', '/servers'),
    await core.ask('GET', '/charter/history'),
  ]
  if ([nodes, servers, history].some((reply) => reply.status !== 200)) return undefined
  const nodesRead = z
    .object({ core: z.array(z.object({ seat: z.string() })), seats: z.array(z.object({ seat: z.string() })) })
    .parse(Tree.read(nodes.body))
  const serversRead = z.array(z.object({ name: z.string(), zone: z.string() })).parse(Tree.read(servers.body))
  const stamps = z.array(z.object({ stamp: z.number() })).parse(Tree.read(history.body))
  return {
    core: nodesRead.core.map((one) => one.seat),
    seat: nodesRead.seats.map((one) => one.seat),
    server: serversRead.map((one) => one.name),
    zone: [...new Set(serversRead.map((one) => one.zone))],
    stamp: stamps.map((one) => String(one.stamp)),
  }
}

const carryOut = command({
  name: 'run',
  description: 'Carry a runbook out, step by step, up to the first step that fails.',
  args: {
    runbook,
    core: option({
      long: 'core',
      type: string,
      env: 'SPRINGPADDLE_CORE',
      description: "operators' addresses of the core, comma-separated (or SPRINGPADDLE_CORE)",
    }),
    set: multioption({ long: 'set', type: array(string), description: 'a variable, as name=value' }),
    dryRun: flag({ long: 'dry-run', description: 'check it and print its steps, do nothing' }),
    record: option({ long: 'record', type: optional(string), description: 'where to write what was seen' }),
    resume: option({ long: 'resume', type: optional(string), description: 'go on from this record' }),
  },
  handler: async (given) => {
    const old = given.resume === undefined ? undefined : RunbookRecord.resume(given.resume)
    if (typeof old === 'string') {
      fail([old], 2)
      return
    }
    if (old !== undefined && old.run.runbook !== given.runbook) {
      fail([`the record is of ${old.run.runbook}, not of ${given.runbook}`], 2)
      return
    }
    const body = text(given.runbook)
    if (body === undefined) {
      fail([`no runbook is named ${given.runbook}; there are: ${names().join(', ')}`], 2)
      return
    }
    const variables =
      old?.run.variables ?? Object.fromEntries(given.set.map((one) => [one.slice(0, one.indexOf('=')), one.slice(one.indexOf('=') + 1)]))
    const core = new CoreClient(given.core.split(','), 9000)
    const exists = await existing(core)
    if (exists === undefined && !given.dryRun) {
      fail(['the core did not answer, so its names could not be checked'], 1)
      return
    }
    await Runbook.read(body, variables, exists).caseOf({
      Left: (errors) => {
        fail(errors, 2)
        return Promise.resolve()
      },
      Right: async (book) => {
        if (given.dryRun) {
          book.steps.forEach((step, at) => {
            say(`${String(at + 1)}. ${step.title}: ${'ask' in step ? step.ask : JSON.stringify('do' in step ? step.do : step.check)}`)
          })
          return
        }
        const path =
          given.resume ?? given.record ?? `${given.runbook.replaceAll('/', '-')}-${new Date().toISOString().replaceAll(':', '')}.jsonl`
        const record = old ?? RunbookRecord.begin(path, given.runbook, variables)
        const passed = await runRunbook(book, record.next, {
          core,
          nowMs: () => performance.now(),
          pause: (waitMs) => pause(waitMs),
          say,
          record: (entry) => {
            record.step(entry)
          },
          operation: (step) => `${record.run.run}-${String(step)}`,
        })
        say(`${passed ? 'finished' : 'stopped'}; record: ${path}${passed ? '' : `; go on with --resume ${path}`}`)
        if (!passed) process.exitCode = 3
      },
    })
  },
})

export const runbookCommands = subcommands({
  name: 'runbook',
  description: 'Runbooks that can be executed.',
  cmds: {
    list: command({
      name: 'list',
      description: 'The runbooks that come along.',
      args: {},
      handler: () => {
        for (const name of names()) say(`${name}: ${JSON.stringify(Tree.at(Tree.read(text(name) ?? ''), ['about']) ?? '')}`)
      },
    }),
    show: command({
      name: 'show',
      description: 'Print a runbook.',
      args: { runbook },
      handler: (given) => {
        const body = text(given.runbook)
        if (body === undefined) fail([`no runbook is named ${given.runbook}; there are: ${names().join(', ')}`], 2)
        else process.stdout.write(body)
      },
    }),
    run: carryOut,
  },
})
