/**
 * Around planned work no request is lost: one that a gateway has read whole gets a complete answer, unless its own time is over,
 * the server broke it off, or it was sent early in a stop and its server was at work until late in it.
 */
import type { SoakLog } from './SoakLog.js'
import type { SoakRun } from './SoakRun.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSpan } from './SoakSpan.js'
import type { SoakTry } from './SoakTry.js'
import { soakTimes } from './soakTimes.js'

const slackMs = 200
const afterGraceMs = 1000
const configApplyMs = 2000
/** What was sent so soon after SIGTERM is excused if its server was at work in the last part of the grace time. */
const earlyMs = 3000
const lastRatio = 5 / 6
const planned: ReadonlySet<string> = new Set(['stop', 'reload'])
const timeoutMs = new Map(SoakScene.network(1).routes.map((route): [string, number] => [route.name, route.timeoutMs]))

interface Cut {
  seen: SoakTry
  /** Its run, if it was passed on to a server. */
  run: SoakRun | undefined
}

function isExcused({ seen, run }: Cut, spans: readonly SoakSpan[]): boolean {
  const givenMs = Math.min(seen.dueMs, timeoutMs.get(seen.route) ?? Infinity)
  if (seen.endMs - seen.sentMs >= givenMs || run?.brokenOff === true) return true
  // A connection that ends at once without a server may not have been read.
  if (run === undefined && seen.endMs - seen.sentMs <= slackMs) return true
  const sinceMs = seen.sentMs - soakTimes.contactMs
  return spans.some((one) => !planned.has(one.kind) && one.fromMs <= seen.endMs && one.toMs >= sinceMs)
}

/** The work that the end of a request falls to; nothing when it falls to none, or the stop excuses it. */
function workAround({ seen, run }: Cut, spans: readonly SoakSpan[]): string | undefined {
  for (const { kind, fromMs } of spans.filter((one) => one.who === seen.gateway && seen.endMs >= one.fromMs)) {
    const sentAtMs = seen.sentMs - fromMs
    const told = `${kind} of ${seen.gateway}, sent at ${sentAtMs.toFixed(0)} ms, cut at ${(seen.endMs - fromMs).toFixed(0)} ms`
    if (kind === 'reload' && sentAtMs <= configApplyMs) return told
    if (kind !== 'stop' || seen.endMs - fromMs > SoakScene.graceMs + afterGraceMs) continue
    const atWorkLate = run !== undefined && run.endMs - fromMs >= lastRatio * SoakScene.graceMs
    if (sentAtMs > earlyMs || !atWorkLate) return told
  }
  return undefined
}

export function judgeLost({ tries, runs, spans }: SoakLog): string[] {
  const runOf = new Map(runs.map((run) => [run.id, run]))
  return tries.flatMap((seen) => {
    const cut = { seen, run: runOf.get(seen.id) }
    if ((seen.status > 0 && seen.whole) || isExcused(cut, spans)) return []
    const work = workAround(cut, spans)
    if (work === undefined) return []
    const where = cut.run === undefined ? 'never passed on' : `ran at ${cut.run.server}`
    return [`${seen.id} (${seen.route}): ${work}${seen.reused ? ', on a kept connection' : ''}; ${where}; ${seen.why}`]
  })
}
