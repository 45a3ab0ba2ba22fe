/**
 * No request that may not be repeated runs twice or where it was not meant to run, and what a client takes for
 * a whole answer is the whole answer of a run of its own request.
 */
import type { SoakLog } from './SoakLog.js'
import type { SoakRun } from './SoakRun.js'
import type { SoakTry } from './SoakTry.js'
import { soakEvents } from './soakEvents.js'

const once: ReadonlySet<string> = new Set(['live', 'book', 'scroll'])

function judgeStream(one: SoakTry): string[] {
  const events = soakEvents.read(one.body)
  if (events === undefined) return one.whole ? ['its stream holds what is no event'] : []
  const faults: string[] = []
  if (events.some(({ id }) => id !== one.id)) faults.push("its stream holds another's event")
  if (events.some(({ number }, at) => number !== at + 1)) faults.push('its stream misses or repeats an event')
  if (one.whole && events.length !== soakEvents.count) faults.push('its stream looks whole and is not')
  if (once.has(one.route) && events.some(({ seal }) => seal !== one.seal)) faults.push('its stream joins two runs')
  return faults
}

function judgeTry(one: SoakTry, runs: readonly SoakRun[]): string[] {
  const faults: string[] = []
  if (once.has(one.route) && runs.length > 1) faults.push(`ran ${String(runs.length)} times`)
  if (runs.some((run) => run.stray)) faults.push('ran at a server that it was not meant for')
  if (one.answeredId !== '' && one.answeredId !== one.id) faults.push(`got the answer of ${one.answeredId}`)
  if (one.status < 200 || one.status >= 300) return faults
  if (one.seal === '') return [...faults, `got a ${String(one.status)} without a seal`]
  const source = runs.find((run) => run.seal === one.seal)
  if (source === undefined) return [...faults, 'got an answer whose seal none of its runs has']
  if (one.model !== '' || one.route === 'scroll') return [...faults, ...judgeStream(one)]
  if (one.whole && one.body !== source.body) faults.push('got a body that its server did not send')
  return faults
}

export function judgeAnswers({ tries, runs }: SoakLog): string[] {
  const byId = new Map<string, SoakRun[]>()
  for (const run of runs) {
    const old = byId.get(run.id)
    if (old === undefined) byId.set(run.id, [run])
    else old.push(run)
  }
  const ids = new Set(tries.map((one) => one.id))
  const unasked = runs.filter((run) => !ids.has(run.id)).map((run) => `${run.id}: ran though nobody asked for it`)
  return [...unasked, ...tries.flatMap((one) => judgeTry(one, byId.get(one.id) ?? []).map((fault) => `${one.id} (${one.route}): ${fault}`))]
}
