/**
 * Checks the invariants of a run against what was observed from outside. Each rule has a checker
 * here that gives the observations that broke it.
 */
import type { Bounds } from '../common/Bounds.js'
import { Verdict } from '../common/Verdict.js'
import { linear } from './linear.js'
import type { Observation } from './Observation.js'

interface Case {
  observations: readonly Observation[]
  /** Whether people may send requests of their own, which nobody here has asked. */
  visitors: boolean
  bounds: Bounds
  zones: ReadonlyMap<string, string>
  /** The least that must have been asked for the run to say anything. */
  leastAsked: number
  /** The longest that a request may run at a server. */
  longestRunMs: number
  sizes: ReadonlyMap<string, number>
  allowed: (service: string, server: string, atMs: number) => boolean
  paceMbPerS: number
  burstMb: number
  retryRatio: number
  retryAllowance: number
  slackMs: number
}
type Kind<K extends Observation['kind']> = Extract<Observation, { kind: K }>

const retryWindowMs = 5000

/** The most further tries over the ratio of first ones in any window. */
function mostAgain(tries: readonly { atMs: number; again: boolean }[], ratio: number): number {
  let worst = 0
  let over = 0
  let from = 0
  for (const one of tries) {
    over += one.again ? 1 : -ratio
    for (let old = tries[from]; old !== undefined && old.atMs < one.atMs - retryWindowMs; old = tries[from]) {
      over -= old.again ? 1 : -ratio
      from += 1
    }
    worst = Math.max(worst, over)
  }
  return worst
}

/** Whether a model could still have been had by a due: it is somewhere, or the store's pace would have allowed it. */
function couldServe({ observations, sizes, paceMbPerS, burstMb }: Case, service: string, atMs: number, dueMs: number): boolean {
  const sizeMb = sizes.get(service)
  if (sizeMb === undefined) return true
  const holders = new Set<string>()
  let levelMb = 0
  let lastMs = 0
  for (const one of observations) {
    if (one.atMs > atMs) break
    if (one.kind === 'serverUp') holders.delete(one.server)
    if (one.kind === 'ordered' && one.taken && one.order === `load ${service}/`) holders.add(one.server)
    if (one.kind === 'ordered' && one.taken && one.order === `unload ${service}/`) holders.delete(one.server)
    if (one.kind !== 'drew') continue
    levelMb = Math.max(0, levelMb - ((one.atMs - lastMs) * paceMbPerS) / 1000) + one.mb
    lastMs = one.atMs
  }
  return holders.size > 0 || levelMb - ((dueMs - lastMs) * paceMbPerS) / 1000 + sizeMb <= burstMb
}

export function checkInvariants(given: Case): Record<string, string[]> {
  const { observations, bounds, slackMs } = given
  const of = <K extends Observation['kind']>(kind: K): Kind<K>[] => observations.filter((one): one is Kind<K> => one.kind === kind)
  const asked = new Map(of('asked').map((one) => [one.request, one]))
  const runs = new Map<string, Kind<'ran'>[]>()
  for (const ran of of('ran')) runs.set(ran.request, [...(runs.get(ran.request) ?? []), ran])
  const rules: Record<string, string[]> = {
    ranTwice: [],
    notRunRan: [],
    whole: [],
    turnedAway: [],
    stray: [],
    charter: [],
    linear: linear(observations),
    asked: [],
    unanswered: [],
    late: [],
    drain: [],
    emptied: [],
    retries: [],
    cold: [],
    room: [],
    flights: [],
    store: [],
    controllers: [],
    overdue: [],
    formerLife: [],
    recovery: [],
  }
  const tell = (rule: string, what: string) => {
    rules[rule]?.push(what)
  }

  for (const [request, list] of runs) {
    const ask = asked.get(request)
    const visits = given.visitors && ask === undefined && list.every((ran) => ran.marks.length === 0)
    if (ask === undefined && !visits) tell('stray', `${request} was never asked`)
    else if (ask?.repeatable === false && list.length > 1) tell('ranTwice', `${request} ran ${String(list.length)} times`)
    for (const ran of list) {
      const foreign = ran.marks.find((mark) => mark !== request)
      if (foreign !== undefined) tell('stray', `${request} ran with a part of ${foreign}`)
      const known = !visits || ran.service !== ''
      if (known && !given.allowed(ran.service, ran.server, ran.atMs)) tell('stray', `${request} for ${ran.service} ran at ${ran.server}`)
    }
  }
  for (const away of of('turnedAway')) {
    const ask = asked.get(away.request)
    const ran = runs.get(away.request)
    if ((away.verdict === Verdict.notRun || (away.status >= 400 && away.status < 500)) && ran !== undefined)
      tell('notRunRan', `${away.request} was told ${String(away.status)} NotRun and ran`)
    if (away.verdict === undefined) tell('turnedAway', `${away.request} got ${String(away.status)} without a verdict`)
    if (ask?.proper !== true) continue
    if (away.status < 500) tell('turnedAway', `${away.request} is proper and got ${String(away.status)}`)
    if (!away.retryAfter) tell('turnedAway', `${away.request} was not told when to come back`)
    if (away.verdict === Verdict.notRun && away.atMs < ask.leastDueMs - slackMs && couldServe(given, ask.service, away.atMs, ask.dueMs))
      tell('turnedAway', `${away.request} was given up ${String(Math.round(ask.dueMs - away.atMs))} ms before its due`)
    if (away.atMs > Math.max(ask.dueMs, away.wokeMs + (ask.atMs < away.wokeMs ? ask.dueMs - ask.atMs : 0)) + slackMs)
      tell('turnedAway', `${away.request} was told ${String(Math.round(away.atMs - ask.dueMs))} ms after its due`)
  }
  for (const whole of of('whole')) {
    if (whole.status < 300 && !(runs.get(whole.request) ?? []).some((ran) => ran.sum === whole.sum))
      tell('whole', `${whole.request} got what no server said`)
  }
  if (asked.size < given.leastAsked) tell('asked', `only ${String(asked.size)} requests were asked of at least ${String(given.leastAsked)}`)
  const answered = new Set([...of('whole'), ...of('brokenOff'), ...of('turnedAway'), ...of('left')].map((one) => one.request))
  const lastMs = observations.reduce((latest, one) => Math.max(latest, one.atMs), 0)
  for (const ask of asked.values()) {
    const ran = runs.get(ask.request)
    const untilMs =
      Math.max(ask.dueMs, ...(ran ?? []).map((one) => Math.max(one.wokeMs, one.atMs) + bounds.recoverMs + given.longestRunMs)) + slackMs
    if (!answered.has(ask.request) && untilMs < lastMs) tell('unanswered', `${ask.request} never got a final answer`)
    for (const one of ran ?? []) {
      const dueMs = Math.max(ask.dueMs, ask.atMs < one.wokeMs ? one.wokeMs + ask.dueMs - ask.atMs : 0)
      if (one.atMs > dueMs + slackMs) tell('late', `${ask.request} ran ${String(Math.round(one.atMs - ask.dueMs))} ms after its due`)
    }
  }
  const operations = new Map(of('wrote').map((one) => [one.operation, one]))
  const back = new Map(of('readBack').map((one) => [one.stamp, one.text]))
  for (const ack of of('acknowledged')) {
    const wrote = operations.get(ack.operation)
    if (wrote !== undefined && back.size > 0 && back.get(ack.stamp) !== wrote.text)
      tell('charter', `${ack.operation} at stamp ${String(ack.stamp)} does not read back`)
  }
  const histories = of('history').map((one) => one.entries.map((entry) => entry.operation))
  const last = histories.at(-1)
  if (last !== undefined) {
    for (const ack of of('acknowledged'))
      if (!last.includes(ack.operation)) tell('charter', `${ack.operation} was acknowledged and is gone`)
    for (const not of of('notTaken'))
      if (last.includes(not.operation)) tell('charter', `${not.operation} was told ${String(not.status)} and took effect`)
  }
  const downs = of('coreDown')
  /** The bound on emptying runs from when there was a core that could be asked. */
  const heard = (atMs: number) =>
    Math.max(atMs, ...downs.filter((down) => down.fromMs < atMs + bounds.emptyMs && down.atMs > atMs).map((down) => down.atMs))
  const spans = (events: { atMs: number; on: boolean; ackedMs?: number }[], graceMs: number, from = (atMs: number) => atMs) =>
    events.flatMap((event, at) =>
      event.on
        ? [
            {
              fromMs: Math.min(from(event.atMs) + graceMs, (event.ackedMs ?? Infinity) + bounds.charterMs),
              toMs: events.slice(at + 1).find((later) => !later.on)?.atMs ?? Infinity,
            },
          ]
        : [],
    )
  const bars = new Map<string, { atMs: number; on: boolean; ackedMs: number }[]>()
  for (const one of of('barred'))
    bars.set(`${one.service} ${one.server}`, [
      ...(bars.get(`${one.service} ${one.server}`) ?? []),
      { atMs: one.atMs, on: one.barred, ackedMs: one.ackedMs },
    ])
  for (const [key, events] of bars) {
    const closed = spans(events, 1e9)
    for (const ran of of('ran'))
      if (`${ran.service} ${ran.server}` === key && closed.some((span) => ran.atMs > span.fromMs && ran.atMs < span.toMs))
        tell('charter', `${ran.request} ran at ${ran.server}, which its charter had barred`)
  }
  for (const server of given.zones.keys()) {
    const drains = spans(
      of('platform')
        .filter((one) => one.server === server)
        .map((one) => ({ atMs: one.atMs, on: one.draining || !one.listed })),
      bounds.drainMs,
    )
    const empties = spans(
      of('emptied')
        .filter((one) => one.zone === given.zones.get(server))
        .map((one) => ({ atMs: one.atMs, on: one.emptied, ackedMs: one.ackedMs })),
      bounds.emptyMs,
      heard,
    )
    for (const ran of of('ran')) {
      if (ran.server !== server) continue
      if (drains.some((span) => ran.atMs > span.fromMs && ran.atMs < span.toMs))
        tell('drain', `${ran.request} ran at ${server} while it drains`)
      if (empties.some((span) => ran.atMs > span.fromMs && ran.atMs < span.toMs))
        tell('emptied', `${ran.request} ran at ${server} in an emptied zone`)
    }
  }
  const tries = new Map<string, { atMs: number; again: boolean }[]>()
  const seen = new Set<string>()
  for (const ran of of('ran')) {
    tries.set(ran.service, [...(tries.get(ran.service) ?? []), { atMs: ran.atMs, again: seen.has(ran.request) }])
    seen.add(ran.request)
  }
  for (const [service, list] of tries) {
    const worst = mostAgain(list, given.retryRatio)
    if (worst > given.retryAllowance)
      tell('retries', `${service} got ${worst.toFixed(1)} further tries over the ratio within ${String(retryWindowMs)} ms`)
  }
  for (const cold of of('coldRun'))
    if (cold.flights > cold.limit) tell('cold', `${cold.server} had ${String(cold.flights)} requests of ${String(cold.limit)} while cold`)
  for (const broke of of('broke'))
    tell(broke.rule === 'flights' ? 'flights' : broke.rule === 'twoOrders' ? 'controllers' : 'room', `${broke.server}: ${broke.what}`)
  const drew = of('drew')
  drew.forEach((from, at) => {
    let mb = 0
    for (const to of drew.slice(at)) {
      mb += to.mb
      if (mb > given.burstMb + (given.paceMbPerS * (to.atMs - from.atMs + slackMs)) / 1000 + 1e-6) {
        tell('store', `${String(mb)} MB in ${String(Math.round(to.atMs - from.atMs))} ms`)
        break
      }
    }
  })
  const epochs = new Map<string, number>()
  for (const order of of('ordered')) {
    if (!order.taken) continue
    if (order.epoch < (epochs.get(order.server) ?? 0))
      tell('controllers', `${order.server} took an order of epoch ${String(order.epoch)} after a newer one`)
    epochs.set(order.server, order.epoch)
  }
  for (const one of of('overdue')) tell('overdue', `${one.message} came ${String(Math.round(one.ageMs))} ms after it was sent`)
  for (const one of of('formerLife')) tell('formerLife', `a renewal of a former life of ${one.seat} was counted for the present one`)
  const closed = of('faultClosed')
  closed.forEach((fault, at) => {
    const fromMs = fault.atMs + bounds.recoverMs
    const began = of('faultBegan').find((one) => one.atMs > fault.atMs)
    const toMs = Math.min(closed[at + 1]?.atMs ?? Infinity, began?.atMs ?? Infinity)
    for (const away of [...of('turnedAway'), ...of('brokenOff')]) {
      const ask = asked.get(away.request)
      if (ask?.proper === true && ask.atMs > fromMs && away.atMs < toMs)
        tell(
          'recovery',
          `${away.request} failed after ${fault.fault} had been over for ${String(bounds.recoverMs)} ms: ${away.kind === 'turnedAway' ? away.why : 'broken off'}`,
        )
    }
  })
  return rules
}
