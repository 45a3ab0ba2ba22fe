/**
 * Carries a runbook out step by step: stops at the first step that fails, writes what it saw to a
 * record, and can go on from a record behind the last step that was done.
 */
import { z } from 'zod'
import { Tree } from '../common/Tree.js'
import type { Runbook } from './Runbook.js'

interface Core {
  ask: (
    method: 'GET' | 'PATCH' | 'POST',
    path: string,
    body?: string,
    headers?: Record<string, string>,
  ) => Promise<{ status: number; body: string }>
}
interface Hands {
  core: Core
  nowMs: () => number
  pause: (waitMs: number) => Promise<void>
  say: (line: string) => void
  record: (entry: { step: number; title: string; ended: 'done' | 'failed'; saw: string }) => void
  operation: (step: number) => string
}
const Nodes = z.object({
  core: z.array(z.object({ seat: z.string(), voter: z.boolean(), alive: z.boolean(), session: z.string().default('') })),
  seats: z.array(z.object({ seat: z.string(), alive: z.boolean(), session: z.string().default('') })),
})
const Servers = z.array(z.object({ name: z.string(), draining: z.boolean() }))
const betweenChecksMs = 250

type Check = Extract<Runbook['steps'][number], { check: unknown }>['check']

/** The sessions of core machines and seats, as they are before a person is asked to do something. */
async function sessions(core: Core): Promise<ReadonlyMap<string, string>> {
  const nodes = Nodes.safeParse(Tree.read((await core.ask('GET', '/nodes')).body)).data
  return new Map([...(nodes?.core ?? []), ...(nodes?.seats ?? [])].map((one) => [one.seat, one.session]))
}

async function look(core: Core, check: Check, before: ReadonlyMap<string, string>): Promise<{ holds: boolean; saw: string }> {
  if (check.kind === 'leaf') {
    const reply = await core.ask('GET', '/charter')
    const value = Tree.at(Tree.read(reply.body), check.path.split('.'))
    return {
      holds: reply.status === 200 && JSON.stringify(value) === JSON.stringify(check.equals),
      saw: `${check.path} is ${JSON.stringify(value) ?? 'not there'}`,
    }
  }
  if (check.kind === 'server') {
    const reply = await core.ask('GET', '/servers')
    const server = Servers.safeParse(Tree.read(reply.body)).data?.find((one) => one.name === check.server)
    return {
      holds: server?.draining === check.draining,
      saw: server === undefined ? `${check.server} is not listed` : `${check.server} ${server.draining ? 'drains' : 'does not drain'}`,
    }
  }
  const reply = await core.ask('GET', '/nodes')
  const nodes = Nodes.safeParse(Tree.read(reply.body)).data
  if (nodes === undefined) return { holds: false, saw: `the core answered ${String(reply.status)}` }
  if (check.kind === 'renewed') {
    const seat = [...nodes.core, ...nodes.seats].find((one) => one.seat === check.seat)
    const anew = seat !== undefined && seat.alive && seat.session !== before.get(check.seat)
    return { holds: anew, saw: `${check.seat} ${anew ? 'is alive in a new session' : 'is not back in a new session'}` }
  }
  if (check.kind === 'member') {
    const alive = nodes.core.some((one) => one.seat === check.seat && one.voter && one.alive)
    return { holds: alive === check.alive, saw: `${check.seat} ${alive ? 'votes and answers' : 'does not answer as a voter'}` }
  }
  const list = check.kind === 'core' ? nodes.core : nodes.seats
  const alive = list.filter((one) => one.alive).length
  return {
    holds: check.alive === 'all' ? alive === list.length && alive > 0 : alive * 2 > list.length,
    saw: `${String(alive)} of ${String(list.length)} alive`,
  }
}

export async function runRunbook(book: Runbook, from: number, hands: Hands): Promise<boolean> {
  let before = await sessions(hands.core)
  for (const [at, step] of book.steps.entries()) {
    if (at < from) continue
    let holds = true
    let saw = ''
    if ('ask' in step) {
      before = await sessions(hands.core)
      saw = step.ask
      hands.say(`     please: ${step.ask}`)
    } else if ('do' in step) {
      const headers = { 'operation-id': hands.operation(at) }
      const reply =
        step.do.kind === 'patch'
          ? await hands.core.ask('PATCH', '/charter', JSON.stringify(step.do.tree), headers)
          : step.do.kind === 'rollback'
            ? await hands.core.ask('POST', '/charter/rollback', step.do.stamp, headers)
            : await hands.core.ask('POST', '/seats/retire', step.do.seat, headers)
      holds = reply.status === 200
      saw = `${String(reply.status)} ${reply.body.trim()}`
    } else {
      const untilMs = hands.nowMs() + step.withinMs
      for (;;) {
        const seen = await look(hands.core, step.check, before)
        holds = seen.holds
        saw = seen.saw
        if (holds || hands.nowMs() >= untilMs) break
        await hands.pause(betweenChecksMs)
      }
    }
    hands.say(`${holds ? 'done' : 'FAIL'} ${String(at + 1)}. ${step.title}: ${saw}`)
    hands.record({ step: at, title: step.title, ended: holds ? 'done' : 'failed', saw })
    if (!holds) return false
  }
  return true
}
