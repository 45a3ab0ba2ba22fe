#!/usr/bin/env node
/**
 * The operators' command line. Every command speaks to the core's operators' API; `--json` prints the
 * core's own answer for scripts, and the exit code tells how it ended.
 */
import '../common/checkNode.js'
import { readFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { command, flag, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import { z } from 'zod'
import { Charter } from '../common/Charter.js'
import { Network } from '../common/Network.js'
import { runCommand } from '../common/runCommand.js'
import { Tree } from '../common/Tree.js'
import { CoreClient } from './CoreClient.js'
import { diagnose } from './diagnose.js'
import { diffLeaves } from './diffLeaves.js'
import { exitCode } from './exitCode.js'
import { runbookCommands } from './runbookCommands.js'

const common = {
  core: option({
    long: 'core',
    type: string,
    env: 'SPRINGPADDLE_CORE',
    description: "operators' addresses of the core, comma-separated (or SPRINGPADDLE_CORE)",
  }),
  json: flag({ long: 'json', description: "print the core's answer as JSON" }),
  wait: option({ long: 'wait', type: number, defaultValue: () => 9000, description: 'how long to wait, in ms' }),
}
const file = positional({ type: string, displayName: 'file', description: 'a file, or - for standard input' })
const branch = option({ long: 'branch', type: optional(string), description: 'only this branch, such as partners.gopherline' })
const writing = {
  ...common,
  ifMatch: option({ long: 'if-match', type: optional(string), description: 'only if the charter is still at this stamp' }),
  operation: option({ long: 'operation', type: optional(string), description: 'operation id, to repeat a write safely' }),
}
const adoptMs = 1000
interface Common {
  core: string
  json: boolean
  wait: number
}

const read = (path: string) => readFileSync(path === '-' ? 0 : path, 'utf8')
const out = (text: string) => {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`)
}
const clientOf = (given: Common) => new CoreClient(given.core.split(','), given.wait)

function end(given: Common, reply: { status: number; body: string }, show: (body: string) => string): void {
  process.exitCode = exitCode(reply.status)
  if (given.json || reply.status === 200) out(given.json ? reply.body : show(reply.body))
  else process.stderr.write(`springpaddle: ${errorsOf(reply.body)}\n`)
}

function errorsOf(body: string): string {
  const shape = z.object({ errors: z.array(z.string()).optional(), outcome: z.string().optional(), operation: z.string().optional() })
  const parsed = shape.safeParse(Tree.read(body))
  if (!parsed.success) return body
  const { errors, outcome, operation } = parsed.data
  if (outcome === 'undecided') return `undecided; ask again with: springpaddle operation ${operation ?? ''}`
  return errors?.join('\nspringpaddle: ') ?? body
}

async function write(
  given: Common & { ifMatch: string | undefined; operation: string | undefined },
  method: 'PUT' | 'PATCH' | 'POST' | 'DELETE',
  path: string,
  body: string,
): Promise<void> {
  const headers: Record<string, string> = {}
  if (given.ifMatch !== undefined) headers['if-match'] = given.ifMatch
  if (given.operation !== undefined) headers['operation-id'] = given.operation
  const reply = await clientOf(given).ask(method, path, body, headers)
  end(given, reply, () => `done, stamp ${String(reply.stamp)}`)
}

async function show(given: Common, path: string, table: (rows: z.infer<typeof Rows>) => string): Promise<void> {
  end(given, await clientOf(given).ask('GET', path), (body) => table(Rows.parse(JSON.parse(body))))
}
const Rows = z.union([z.array(z.record(z.string(), z.unknown())), z.record(z.string(), z.unknown())])
const flat = (value: unknown): string => (typeof value === 'string' ? value : JSON.stringify(value))
const table = (rows: z.infer<typeof Rows>): string => {
  if (!Array.isArray(rows))
    return Object.entries(rows)
      .map(([key, value]) =>
        Array.isArray(value) ? `${key}:\n${value.map((one) => `  ${flat(one)}`).join('\n')}` : `${key}: ${flat(value)}`,
      )
      .join('\n')
  return rows
    .map((row) =>
      Object.entries(row)
        .map(([key, value]) => `${key}=${flat(value)}`)
        .join('  '),
    )
    .join('\n')
}
const query = (given: { branch?: string | undefined }) => (given.branch === undefined ? '' : `?branch=${encodeURIComponent(given.branch)}`)

const charter = subcommands({
  name: 'charter',
  description: 'Read and write the charter.',
  cmds: {
    put: command({
      name: 'put',
      description: 'Replace the charter, or one branch of it.',
      args: { ...writing, file, branch },
      handler: (given) => write(given, 'PUT', `/charter${query(given)}`, read(given.file)),
    }),
    patch: command({
      name: 'patch',
      description: 'Change only the leaves that the file names; null takes one away.',
      args: { ...writing, file, branch },
      handler: (given) => write(given, 'PATCH', `/charter${query(given)}`, read(given.file)),
    }),
    get: command({
      name: 'get',
      description: 'Print the charter byte for byte.',
      args: {
        ...common,
        branch,
        stamp: option({ long: 'stamp', type: optional(string), description: 'as it was at this stamp' }),
        sent: flag({ long: 'sent', description: 'the text that was sent, not the whole that it made' }),
      },
      handler: async (given) => {
        const search = new URLSearchParams({
          ...(given.branch === undefined ? {} : { branch: given.branch }),
          ...(given.stamp === undefined ? {} : { stamp: given.stamp }),
          ...(given.sent ? { as: 'sent' } : {}),
        })
        const reply = await clientOf(given).ask('GET', `/charter?${search.toString()}`)
        process.exitCode = exitCode(reply.status)
        if (reply.status === 200) process.stdout.write(reply.body)
        else process.stderr.write(`springpaddle: ${errorsOf(reply.body)}\n`)
      },
    }),
    leaves: command({
      name: 'leaves',
      description: 'Each leaf, its value, and where the value came from.',
      args: common,
      handler: (given) => show(given, '/charter/leaves', table),
    }),
    history: command({
      name: 'history',
      description: 'The stamps that are kept.',
      args: common,
      handler: (given) => show(given, '/charter/history', table),
    }),
    rollback: command({
      name: 'rollback',
      description: 'Make an earlier stamp the charter again, as a new one.',
      args: { ...writing, stamp: positional({ type: string, displayName: 'stamp' }) },
      handler: (given) => write(given, 'POST', '/charter/rollback', given.stamp),
    }),
    diff: command({
      name: 'diff',
      description: 'How a file differs from the charter, leaf by leaf.',
      args: { ...common, file, branch },
      handler: async (given) => {
        const reply = await clientOf(given).ask('GET', `/charter${query(given)}`)
        const theirs = reply.status === 404 ? {} : Tree.read(reply.body)
        const ours = Tree.read(read(given.file))
        if ((reply.status !== 200 && reply.status !== 404) || theirs === undefined || ours === undefined) {
          process.exitCode = reply.status === 200 ? 3 : exitCode(reply.status)
          process.stderr.write(`springpaddle: ${ours === undefined ? 'the file is not JSON' : errorsOf(reply.body)}\n`)
          return
        }
        const lines = diffLeaves(theirs, ours)
        out(given.json ? JSON.stringify(lines) : lines.length === 0 ? 'no difference' : lines.join('\n'))
      },
    }),
    check: command({
      name: 'check',
      description: 'Check a whole charter file without sending it.',
      args: { json: common.json, file },
      handler: (given) => {
        const tree = Tree.read(read(given.file))
        const errors = tree === undefined ? ['charter: not JSON'] : Charter.check(tree).swap().orDefault([])
        process.exitCode = errors.length === 0 ? 0 : 3
        if (given.json) out(JSON.stringify({ errors }))
        else for (const error of errors.length === 0 ? ['proper'] : errors) out(error)
      },
    }),
  },
})
const zoneCommand = (name: string, emptied: boolean, description: string) =>
  command({
    name,
    description,
    args: { ...writing, zone: positional({ type: string, displayName: 'zone' }) },
    handler: (given) => write(given, 'PATCH', '/charter', JSON.stringify({ zones: { [given.zone]: { emptied } } })),
  })
const evacuation = (name: string, method: 'POST' | 'DELETE', description: string) =>
  command({
    name,
    description,
    args: { ...writing, zone: positional({ type: string, displayName: 'zone' }) },
    handler: (given) => write(given, method, `/zones/${encodeURIComponent(given.zone)}/evacuation`, ''),
  })
const network = subcommands({
  name: 'network',
  description: 'Read and write the network of routes and services, where there is one.',
  cmds: {
    get: command({
      name: 'get',
      description: 'Print the network.',
      args: common,
      handler: async (given) => {
        end(given, await clientOf(given).ask('GET', '/network'), (body) => body)
      },
    }),
    put: command({
      name: 'put',
      description: 'Replace the network; --if-match takes its revision, 0 for none yet.',
      args: { ...writing, file },
      handler: (given) => write(given, 'PUT', '/network', read(given.file)),
    }),
    patch: command({
      name: 'patch',
      description: 'Set and drop named routes and services.',
      args: { ...writing, file },
      handler: (given) => write(given, 'PATCH', '/network', read(given.file)),
    }),
    check: command({
      name: 'check',
      description: 'Check a whole network file without sending it.',
      args: { json: common.json, file },
      handler: (given) => {
        const tree = Tree.read(read(given.file))
        const errors = tree === undefined ? ['network: not JSON'] : Network.check(tree, 0).swap().orDefault([])
        process.exitCode = errors.length === 0 ? 0 : 3
        if (given.json) out(JSON.stringify({ errors }))
        else for (const error of errors.length === 0 ? ['proper'] : errors) out(error)
      },
    }),
    empty: evacuation('empty', 'POST', 'No new work for the servers of a zone.'),
    fill: evacuation('fill', 'DELETE', 'The servers of a zone may work again.'),
  },
})
const app = subcommands({
  name: 'springpaddle',
  description: 'Operates a springpaddle system.',
  cmds: {
    charter,
    network,
    zone: subcommands({
      name: 'zone',
      description: 'Empty a zone or fill it again.',
      cmds: {
        empty: zoneCommand('empty', true, 'No new work for the servers of a zone.'),
        refill: zoneCommand('refill', false, 'The servers of a zone may work again.'),
      },
    }),
    runbook: runbookCommands,
    doctor: command({
      name: 'doctor',
      description: 'What is cut off, late, silent or missing, and what to do about it.',
      args: common,
      handler: async (given) => {
        const core = clientOf(given)
        const first = await core.ask('GET', '/nodes')
        await pause(adoptMs)
        const replies = [await core.ask('GET', '/nodes'), await core.ask('GET', '/servers'), await core.ask('GET', '/charter')]
        const [nodes, servers, tree] = replies.map((reply) => (reply.status === 200 ? Tree.read(reply.body) : undefined))
        const placement = Tree.read((await core.ask('GET', '/placement')).body)
        const earlier = z.object({ stamp: z.number() }).safeParse(Tree.read(first.body)).data?.stamp ?? 0
        const findings = diagnose(nodes, servers, tree, earlier, placement)
        process.exitCode = findings.length === 0 ? 0 : 3
        if (given.json) out(JSON.stringify(findings))
        else out(findings.length === 0 ? 'sound' : findings.map((one) => `${one.what}\n    ${one.todo}`).join('\n'))
      },
    }),
    nodes: command({
      name: 'nodes',
      description: 'The core, the dispatcher and the seats.',
      args: common,
      handler: (given) => show(given, '/nodes', table),
    }),
    servers: command({
      name: 'servers',
      description: 'The servers, what they are bound for, and the order under way.',
      args: common,
      handler: (given) => show(given, '/servers', table),
    }),
    placement: command({
      name: 'placement',
      description: 'The last loads and unloads, each with its reason.',
      args: common,
      handler: (given) => show(given, '/placement', table),
    }),
    operation: command({
      name: 'operation',
      description: 'How a write ended, by its operation id.',
      args: { ...common, id: positional({ type: string, displayName: 'id' }) },
      handler: (given) => show(given, `/operations/${encodeURIComponent(given.id)}`, table),
    }),
    seat: subcommands({
      name: 'seat',
      description: 'Seats of the data plane.',
      cmds: {
        retire: command({
          name: 'retire',
          description: 'A seat that is gone for good no longer counts.',
          args: { ...writing, seat: positional({ type: string, displayName: 'seat' }) },
          handler: (given) => write(given, 'POST', '/seats/retire', given.seat),
        }),
      },
    }),
  },
})
await runCommand(app, process.argv.slice(2))
