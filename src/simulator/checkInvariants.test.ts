import { test } from 'node:test'
import { deepStrictEqual } from 'node:assert'
import type { Observation } from './Observation.js'
import { checkInvariants } from './checkInvariants.js'

const verdict = (observations: Observation[], visitors = false) => {
  const rules = checkInvariants({
    observations,
    visitors,
    bounds: { charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 },
    zones: new Map([['s', 'a']]),
    allowed: (_service, server) => server === 's',
    leastAsked: 0,
    longestRunMs: 100,
    sizes: new Map([['x', 15]]),
    paceMbPerS: 10,
    burstMb: 20,
    retryRatio: 0.2,
    retryAllowance: 0,
    slackMs: 100,
  })
  return Object.entries(rules)
    .filter(([, list]) => list.length > 0)
    .map(([rule]) => rule)
}

const askedAt = (atMs: number): Observation => ask('r', { atMs, dueMs: atMs + 1000, leastDueMs: atMs + 1000 })
const ask = (request: string, more: object = {}): Observation => ({
  kind: 'asked',
  atMs: 0,
  request,
  service: 'x',
  repeatable: false,
  dueMs: 1000,
  leastDueMs: 1000,
  proper: true,
  ...more,
})

const ran = (request: string, more: object = {}): Observation => ({
  kind: 'ran',
  atMs: 10,
  request,
  marks: [],
  server: 's',
  service: 'x',
  sum: 1,
  incarnation: 'i',
  wokeMs: 0,
  ...more,
})

const order = (epoch: number, what = ''): Observation => ({
  kind: 'ordered',
  atMs: 0,
  server: 's',
  incarnation: 'i',
  epoch,
  number: 1,
  order: what,
  taken: true,
})

test('each checker bites, and a clean run passes', () => {
  const whole: Observation = { kind: 'whole', atMs: 20, request: 'r', status: 200, sum: 1 }
  const away = (more: object): Observation => ({
    kind: 'turnedAway',
    atMs: 1000,
    request: 'r',
    status: 503,
    verdict: 'NotRun',
    retryAfter: true,
    wokeMs: 0,
    why: '',
    ...more,
  })
  deepStrictEqual(verdict([ask('r'), ran('r'), whole]), [])
  deepStrictEqual(verdict([ask('r'), ran('r'), ran('r'), whole]), ['ranTwice', 'retries'])
  deepStrictEqual(verdict([ask('r'), { ...whole, request: 'other', status: 404, atMs: 2000 }]), ['unanswered'])
  deepStrictEqual(verdict([ask('r'), ran('r', { atMs: 1200 }), whole]), ['late'])
  deepStrictEqual(verdict([ask('r'), ran('r', { atMs: 1200, wokeMs: 300 }), whole]), [])
  deepStrictEqual(
    verdict([
      { kind: 'platform', atMs: 0, server: 's', draining: true, listed: true },
      { kind: 'platform', atMs: 2000, server: 's', draining: true, listed: false },
      askedAt(3001),
      ran('r', { atMs: 3001 }),
    ]),
    ['drain'],
  )
  deepStrictEqual(verdict([ask('r'), ran('r'), { ...whole, sum: 2 }]), ['whole'])
  deepStrictEqual(verdict([ask('r'), ran('r'), away({})]), ['notRunRan'])
  deepStrictEqual(verdict([ask('r'), away({ atMs: 500 })]), ['turnedAway'])
  const drew = (atMs: number): Observation => ({ kind: 'drew', atMs, mb: 20 })
  deepStrictEqual(verdict([ask('r'), drew(400), away({ atMs: 500 })]), [])
  deepStrictEqual(verdict([ask('r', { dueMs: 2000, leastDueMs: 2000 }), drew(400), away({ atMs: 500 })]), ['turnedAway'])
  deepStrictEqual(verdict([ask('r'), drew(400), order(1, 'load x/'), away({ atMs: 500 })]), ['turnedAway'])
  deepStrictEqual(verdict([ask('r'), away({ atMs: 1500 })]), ['turnedAway'])
  deepStrictEqual(verdict([ask('r'), away({ retryAfter: false })]), ['turnedAway'])
  deepStrictEqual(verdict([ask('r'), away({ status: 404 })]), ['turnedAway'])
  deepStrictEqual(verdict([ask('r'), ran('r', { server: 't' }), whole]), ['stray'])
  deepStrictEqual(verdict([ran('r')]), ['stray'])
  deepStrictEqual(
    verdict([{ kind: 'platform', atMs: 0, server: 's', draining: true, listed: true }, askedAt(3001), ran('r', { atMs: 3001 })]),
    ['drain'],
  )
  deepStrictEqual(
    verdict([{ kind: 'emptied', atMs: 0, zone: 'a', emptied: true, ackedMs: 100 }, askedAt(2101), ran('r', { atMs: 2101 })]),
    ['emptied'],
  )
  deepStrictEqual(
    verdict([{ kind: 'barred', atMs: 0, service: 'x', server: 's', barred: true, ackedMs: 100 }, askedAt(2101), ran('r', { atMs: 2101 })]),
    ['charter'],
  )
  deepStrictEqual(
    verdict([
      { kind: 'acknowledged', atMs: 0, operation: 'o', stamp: 1 },
      { kind: 'history', atMs: 9, entries: [{ stamp: 1, operation: 'p' }] },
    ]),
    ['charter', 'linear'],
  )
  deepStrictEqual(
    verdict([
      { kind: 'notTaken', atMs: 0, operation: 'o', status: 412 },
      { kind: 'history', atMs: 9, entries: [{ stamp: 1, operation: 'o' }] },
    ]),
    ['charter', 'linear'],
  )
  deepStrictEqual(
    verdict([{ kind: 'emptied', atMs: 0, zone: 'a', emptied: true, ackedMs: 9000 }, askedAt(5001), ran('r', { atMs: 5001 })]),
    ['emptied'],
  )
  deepStrictEqual(verdict([{ kind: 'coldRun', atMs: 0, server: 's', incarnation: 'i', flights: 3, limit: 2 }]), ['cold'])
  deepStrictEqual(
    verdict([
      { kind: 'drew', atMs: 0, mb: 20 },
      { kind: 'drew', atMs: 900, mb: 20 },
    ]),
    ['store'],
  )
  deepStrictEqual(
    verdict([
      { kind: 'drew', atMs: 0, mb: 20 },
      { kind: 'drew', atMs: 2000, mb: 20 },
    ]),
    [],
  )
  for (const rule of ['room', 'flights'] as const)
    deepStrictEqual(verdict([{ kind: 'broke', atMs: 0, server: 's', rule, what: '' }]), [rule])
  deepStrictEqual(verdict([order(2), order(1)]), ['controllers'])
  deepStrictEqual(
    verdict([
      { kind: 'wrote', atMs: 0, operation: 'o', text: 'a', branch: '', action: 'put', ifMatch: -1 },
      { kind: 'acknowledged', atMs: 1, operation: 'o', stamp: 5 },
      { kind: 'readBack', atMs: 9, stamp: 5, text: 'b' },
    ]),
    ['charter'],
  )
  deepStrictEqual(
    verdict([
      { kind: 'faultClosed', atMs: 0, fault: 'f' },
      ask('r', { atMs: 12500, dueMs: 13500, leastDueMs: 13500 }),
      away({ atMs: 13500 }),
    ]),
    ['recovery'],
  )
})

test("a visitor's request is told apart by its missing marks, and a stray one is still caught", () => {
  const marked = (request: string, ...marks: string[]) => ran(request, { marks })
  deepStrictEqual(verdict([ran('visit')], true), [])
  deepStrictEqual(verdict([ran('visit', { service: '' })], true), [])
  deepStrictEqual(verdict([ran('visit')], false), ['stray'])
  deepStrictEqual(verdict([ran('visit', { server: 't' })], true), ['stray'])
  deepStrictEqual(verdict([ask('r'), marked('made-up', 'r')], true), ['stray'])
  deepStrictEqual(verdict([marked('made-up', 'made-up')], true), ['stray'])
  deepStrictEqual(verdict([ask('r', { dueMs: 1000 }), ask('q'), marked('q', 'q', 'r')], true), ['stray'])
  deepStrictEqual(verdict([ask('r'), ran('r'), ran('r')], true), ['ranTwice', 'retries'])
})
