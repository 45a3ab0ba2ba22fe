/**
 * Each judge of a soak passes a sound log, and fails on one that is broken on purpose in just its rule.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import type { SoakLog } from './SoakLog.js'
import type { SoakOrderSeen } from './SoakOrderSeen.js'
import type { SoakRun } from './SoakRun.js'
import type { SoakTry } from './SoakTry.js'
import type { SoakStop } from './SoakStop.js'
import { emptySoakLog } from './emptySoakLog.js'
import { judgeSoak } from './judgeSoak.js'
import { soakEvents } from './soakEvents.js'

const rareModels = 20
const asksEach = 6
const betweenMs = 2000
const order: SoakOrderSeen = {
  kind: 'load',
  model: 'm1',
  adapter: '',
  owner: 'core-1',
  fence: 5,
  expected: 0,
  server: 'engine-1.1',
  atMs: 1000,
  status: 202,
  fillsMb: 210_000,
  fillsPlaces: 0,
  fromStore: true,
}

const sentRun = (atMs: number): SoakRun => ({
  id: '',
  server: 'engine-1.1',
  seal: '',
  atMs,
  endMs: atMs + 50,
  brokenOff: false,
  resumeAfter: 0,
  body: '',
  stray: false,
})

/** Twenty models, each asked for six times over ten seconds and served at the last, and a booking a second. */
function sound(): SoakLog {
  const log: SoakLog = {
    ...emptySoakLog(),
    toMs: 20_000,
    orders: [order],
    memory: [{ who: 'gate-1', pid: 1, peakMb: 200, limitMb: 350 }],
    staleAnswers: [412, 503],
  }
  const add = (route: SoakTry['route'], model: string, sentMs: number, status: number) => {
    const ask = log.tries.length + 1
    const id = `t${String(ask)}-1`
    const seal = `s${String(ask)}`
    const ran = status === 200
    const body = !ran ? '' : model === '' ? `${id} done ${seal}` : soakEvents.of(id, seal, 0).join('')
    const head = { seal: ran ? seal : '', answeredId: id, gateway: 'gate-1', adapter: '', reused: false, dueMs: 5000, why: '' }
    log.tries.push({ ...head, id, ask, route, model, sentMs, endMs: sentMs + 100, status, body, whole: true })
    if (ran) log.runs.push({ ...sentRun(sentMs), id, seal, body })
  }
  for (let turn = 0; turn < asksEach; turn++) {
    for (let at = 0; at < rareModels; at++) add('live', `m${String(at)}`, turn * betweenMs + at, turn === asksEach - 1 ? 200 : 503)
    for (let at = 0; at < rareModels; at++) add('book', '', turn * betweenMs + at, 200)
  }
  const change = { taken: true, refused: undefined }
  log.changes.push({ ...change, revision: 3, text: '{"revision":3}', sentMs: 0, acknowledgedMs: 100 })
  log.changes.push({ ...change, revision: 5, text: '{"revision":5}', sentMs: 3000, acknowledgedMs: 3100 })
  log.readings.push({ askedMs: 3200, text: '{ "revision": 5 }', revision: 5, final: true })
  return log
}

function broken(log: SoakLog): string[] {
  return Object.entries(judgeSoak(log)).flatMap(([name, faults]) => (faults.length > 0 ? [name] : []))
}

const stop: SoakStop = { who: 'gate-1', termMs: 2000, endMs: 9000, killed: false, code: 0 }

/** Adds a request that was passed on, and whose connection ended within its answer. */
function cut(log: SoakLog, sentMs: number, endMs: number, route: SoakTry['route'] = 'scroll'): void {
  const [one] = log.tries
  if (one === undefined) return
  const id = `k${String(log.tries.length)}`
  const seal = `seal of ${id}`
  const body = soakEvents.of(id, seal, 0).slice(0, 2).join('')
  const more = { id, ask: log.tries.length + 1, route, model: '', reused: true, dueMs: 6000, status: 200, seal, body, answeredId: id }
  log.tries.push({ ...one, ...more, sentMs, endMs, whole: false })
  log.runs.push({ ...sentRun(sentMs), id, seal, endMs, body: soakEvents.of(id, seal, 0).join('') })
}

const trials: [string, string, (log: SoakLog) => void][] = [
  [
    'starved',
    'a sixth of the models is never served',
    (log) => {
      log.tries = log.tries.filter((one) => !['m1', 'm2', 'm3', 'm4'].includes(one.model) || one.status !== 200)
      const ids = new Set(log.tries.map((one) => one.id))
      log.runs = log.runs.filter((one) => ids.has(one.id))
    },
  ],
  [
    'answers',
    'a booking runs twice',
    (log) => {
      const run = log.runs.find((one) => one.body.includes('done'))
      if (run !== undefined) log.runs.push({ ...run, server: 'desk-2.1', seal: 'again' })
    },
  ],
  [
    'answers',
    "a booking gets another's answer",
    (log) => {
      const [one, other] = log.tries.filter(({ route }) => route === 'book')
      if (one !== undefined && other !== undefined) Object.assign(one, { body: other.body, seal: other.seal, answeredId: other.id })
    },
  ],
  [
    'answers',
    'a success has no seal',
    (log) => {
      for (const one of log.tries.slice(-1)) one.seal = ''
    },
  ],
  [
    'answers',
    'a stream that lacks its end looks whole',
    (log) => {
      const one = log.tries.find(({ model, status }) => model !== '' && status === 200)
      if (one !== undefined) one.body = one.body.slice(0, one.body.indexOf('id: 6'))
    },
  ],
  [
    'answers',
    'a stream repeats an event',
    (log) => {
      const one = log.tries.find(({ model, status }) => model !== '' && status === 200)
      if (one !== undefined) one.body = one.body.slice(0, one.body.indexOf('id: 2')) + one.body
    },
  ],
  [
    'answers',
    'a request runs at a server that it was not meant for',
    (log) => {
      for (const one of log.runs.slice(0, 1)) one.stray = true
    },
  ],
  ['orders', 'an order beyond the memory', (log) => log.orders.push({ ...order, fillsMb: 280_000 })],
  ['orders', 'an order beyond the places', (log) => log.orders.push({ ...order, fillsPlaces: 9 })],
  ['orders', 'two owners of one fence', (log) => log.orders.push({ ...order, owner: 'core-2', atMs: 9000, status: 409 })],
  [
    'orders',
    'a lower fence is taken',
    (log) => log.orders.push({ ...order, owner: 'core-2', fence: 9, atMs: 9000 }, { ...order, atMs: 19_000 }),
  ],
  [
    'orders',
    'two holders in touch take turns',
    (log) => log.orders.push({ ...order, owner: 'core-2', fence: 9, atMs: 1500 }, { ...order, fence: 11, atMs: 2000 }),
  ],
  [
    'configurations',
    'an older configuration is read back',
    (log) => log.readings.push({ askedMs: 4000, text: '{"revision":3}', revision: 3, final: false }),
  ],
  [
    'configurations',
    'it is not read back as it was sent',
    (log) => log.readings.push({ askedMs: 4000, text: '{"revision":5,"more":1}', revision: 5, final: false }),
  ],
  ['configurations', 'nothing is read back', (log) => (log.readings = [])],
  [
    'configurations',
    'a change that was taken is refused',
    (log) => {
      for (const one of log.changes) one.refused = 412
    },
  ],
  [
    'store',
    'too many loads in five seconds',
    (log) => {
      for (let at = 0; at < 60; at++) log.orders.push({ ...order, atMs: 2000 + 50 * at, server: `engine-${String(at % 8)}.1` })
    },
  ],
  [
    'promises',
    'a refused request runs later',
    (log) => {
      const one = log.tries.find(({ status }) => status === 503)
      if (one !== undefined) log.runs.push({ ...sentRun(15_000), id: one.id, seal: 'late' })
    },
  ],
  [
    'served',
    'a calm day serves a third',
    (log) => {
      for (const one of log.tries) if (one.route === 'book' && one.ask % 3 > 0) one.status = 502
    },
  ],
  ['ended', 'a process ends by itself', (log) => log.ended.push('gate-1: exit 1')],
  [
    'memory',
    'a process takes more than its settings allow',
    (log) => log.memory.push({ who: 'gate-2', pid: 2, peakMb: 351, limitMb: 350 }),
  ],
  ['stale', 'a change on an old revision is acknowledged', (log) => log.staleAnswers.push(200)],
  [
    'starts',
    'a gateway is started and never says that it is ready',
    (log) => {
      log.ready.push({ gateway: 'gate-1', atMs: 1000 })
      log.starts.push({ who: 'gate-1', atMs: 2000 })
    },
  ],
  [
    'lost',
    'a request that was sent late in a stop is cut at its server',
    (log) => {
      log.spans.push({ who: 'gate-1', kind: 'stop', fromMs: 2000, toMs: 9500 })
      cut(log, 5500, 9400)
    },
  ],
  [
    'lost',
    'a request that was sent early in a stop is cut in its middle',
    (log) => {
      log.spans.push({ who: 'gate-1', kind: 'stop', fromMs: 2000, toMs: 6000 })
      cut(log, 2500, 5500)
    },
  ],
  [
    'lost',
    'a request around a reload is cut',
    (log) => {
      log.spans.push({ who: 'gate-1', kind: 'reload', fromMs: 2000, toMs: 2000 })
      cut(log, 1500, 2500)
    },
  ],
  ['stops', 'a process outlasts its grace time', (log) => log.stops.push({ ...stop, endMs: 10_010, killed: true })],
  ['stops', 'a stop ends with a failure', (log) => log.stops.push({ ...stop, code: 1 })],
  [
    'stops',
    'a gateway that stops says for too long that it is ready',
    (log) => {
      log.stops.push(stop)
      log.ready.push({ gateway: 'gate-1', atMs: 6500 })
    },
  ],
]

test('a sound log passes every judge', () => {
  deepStrictEqual(broken(sound()), [])
})
for (const [name, what, breaks] of trials)
  test(`the judge of ${name} fails when ${what}`, () => {
    const log = sound()
    breaks(log)
    deepStrictEqual(broken(log), [name])
  })

test('what was asked for in trouble alone, or too seldom, need not be served', () => {
  const log = sound()
  log.tries = log.tries.map((one) => (one.model === '' ? one : { ...one, status: 503, body: '', seal: '' }))
  log.runs = log.runs.filter((one) => one.body.includes('done'))
  strictEqual(broken(log).includes('starved'), true)
  log.spans.push({ who: 'core-1', kind: 'freeze', fromMs: 1000, toMs: 4000 })
  strictEqual(broken(log).includes('starved'), false)
})

test('a run whose control nodes had no turn for long says nothing of starving, one with a freeze does', () => {
  const log = sound()
  log.tries = log.tries.filter((one) => one.model === '' || one.status !== 200)
  log.runs = log.runs.filter((one) => one.body.includes('done'))
  log.spans.push({ who: 'core-1', kind: 'late', fromMs: 12_000, toMs: 15_000 })
  strictEqual(broken(log).includes('starved'), false)
  log.spans.push({ who: 'core-1', kind: 'freeze', fromMs: 12_000, toMs: 15_000 })
  strictEqual(broken(log).includes('starved'), true)
})

test('a node that came out of trouble is not in touch, so its turn counts for nothing', () => {
  const log = sound()
  log.orders.push({ ...order, owner: 'core-2', fence: 9, atMs: 1500 }, { ...order, fence: 11, atMs: 2000 })
  log.spans.push({ who: 'core-1', kind: 'freeze', fromMs: 1100, toMs: 1900 })
  deepStrictEqual(broken(log), [])
})

const excuses: [string, (log: SoakLog) => void][] = [
  ['its deadline had passed', (log) => cut(log, 2500, 8600)],
  ['it was sent early and its server was at work late in the stop', (log) => cut(log, 4900, 9400)],
  [
    'another trouble fell between',
    (log) => {
      log.spans.push({ who: 'engine-1', kind: 'crashServer', fromMs: 3000, toMs: 4000 })
      cut(log, 5500, 9400)
    },
  ],
  [
    'its server broke it off',
    (log) => {
      cut(log, 5500, 6000)
      for (const run of log.runs.slice(-1)) run.brokenOff = true
    },
  ],
]
for (const [what, breaks] of excuses)
  test(`a request that is cut in a stop is not lost when ${what}`, () => {
    const log = sound()
    log.spans.push({ who: 'gate-1', kind: 'stop', fromMs: 2000, toMs: 9500 })
    breaks(log)
    deepStrictEqual(judgeSoak(log)['lost'], [])
  })

test('a stop that a freeze held up is not judged', () => {
  const log = sound()
  log.stops.push({ ...stop, killed: true })
  log.spans.push({ who: 'gate-1', kind: 'freeze', fromMs: 3000, toMs: 4000 })
  deepStrictEqual(judgeSoak(log)['stops'], [])
})

test('a start that another trouble meets, or that ends well, is no fault', () => {
  const log = sound()
  log.ready.push({ gateway: 'gate-1', atMs: 1000 }, { gateway: 'gate-2', atMs: 6000 })
  log.starts.push({ who: 'gate-1', atMs: 2000 }, { who: 'gate-2', atMs: 2000 }, { who: 'core-1', atMs: 2000 })
  log.spans.push({ who: 'gate-1', kind: 'kill', fromMs: 4000, toMs: 5000 })
  deepStrictEqual(broken(log), [])
})
