/**
 * Judges what callers got by what servers saw and sent, without a word from the gateway between them.
 */
import { TurnClock } from '../../common/testing/TurnClock.js'
import type { Call } from './Call.js'
import type { RunLog } from './RunLog.js'

/** Statuses that promise that the request has not run and never will. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503])
const pieces = 6

function judgeStream(call: Call, attempts: number): string[] {
  const events = [...call.answer.matchAll(/id: (\d+)\ndata: (\S+) (\d+)\/\d+ (\S+)\n\n/g)]
  const faults: string[] = []
  if (events.map(([text]) => text).join('') !== call.answer) faults.push('a stream holds what is no event')
  if (events.some(([, , id]) => id !== call.id)) faults.push("a stream holds another caller's event")
  if (events.some(([, id], at) => Number(id) !== at + 1)) faults.push('a stream misses or repeats an event')
  if (call.whole && events.length !== pieces) faults.push('a stream that is not whole looks whole')
  const seals = new Set(events.map(([, , , , seal]) => seal))
  if (seals.size > (call.route === 'stream' ? attempts : 1)) faults.push('a stream joins two runs')
  return faults
}

function judgeAnswer(call: Call, log: RunLog, attempts: number): string[] {
  const seal = call.headers.get('seal')
  const runs = log.of(call.id)
  if (call.status === 0) return []
  const faults: string[] = []
  if (call.headers.get('request-id') !== call.id) faults.push('an answer of another request')
  if (promises.has(call.status) && runs.some((run) => run.ran)) faults.push(`a promise of ${String(call.status)} was broken`)
  const source = runs.find((run) => run.seal === seal)
  if (seal !== undefined && source?.status !== call.status) faults.push('a seal stands with a status that its server did not give')
  if (call.status < 300 && seal === undefined) faults.push('a success without a seal')
  if (seal === undefined || source === undefined) return faults
  if (call.headers.get('content-type') === 'text/event-stream') return [...faults, ...judgeStream(call, attempts)]
  if (call.whole && source.answer !== call.answer) faults.push('an answer is not what its server sent')
  return faults
}

/** Every broken rule, with the request that broke it; `attempts` is the most servers for a route. */
/** A stream that was refused midway may go back to a server that it was sent to; each send beyond its attempts is one of these. */
const mostSendsRatio = 3

export function judgeCalls(calls: readonly Call[], log: RunLog, attempts: Record<Call['route'], number>, slackMs: number): string[] {
  const faults: string[] = []
  const known = new Map(calls.map((call) => [call.id, call]))
  for (const run of log.runs) {
    const call = known.get(run.id)
    if (call === undefined || run.line !== `POST /${call.route}/${call.id} HTTP/1.1` || run.body !== call.body)
      faults.push(`${run.id}: a server got what no caller sent`)
  }
  for (const call of calls) {
    const runs = log.of(call.id)
    const most = attempts[call.route]
    const found = judgeAnswer(call, log, most)
    if ((call.route === 'once' || call.route === 'single') && runs.filter((run) => run.ran).length > 1) found.push('ran twice')
    const servers = new Set(runs.map((run) => run.server)).size
    const ran = runs.filter((run) => run.ran).length
    if (servers > most || ran > most || runs.length > mostSendsRatio * most) found.push('was sent to too many servers')
    if (runs.length > most && call.route !== 'stream') found.push('was sent too often')
    const lateMs = Math.round(TurnClock.turnsAlone.betweenMs(call.sentMs + call.dueMs, call.endMs))
    if (!call.left && lateMs > slackMs)
      found.push(`was held ${String(lateMs)} ms past its due of ${String(call.dueMs)} ms, and ended with ${String(call.status)}`)
    faults.push(...found.map((fault) => `${call.id} (${call.route}): ${fault}`))
  }
  return faults
}
