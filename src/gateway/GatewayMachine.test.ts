import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../common/Random.js'
import { Verdict } from '../common/Verdict.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { GatewayEffect } from './GatewayEffect.js'
import type { GatewayInput } from './GatewayInput.js'
import { GatewayMachine } from './GatewayMachine.js'

interface Given {
  machine: GatewayMachine
  set: (key: string, value: unknown) => void
  drop: (key: string) => void
  step: (input: GatewayInput) => GatewayEffect[]
  arrive: (id: string, path: string, more?: { model?: string; adapter?: string; dueInMs?: number; resumeAfter?: string }) => GatewayEffect[]
  pass: (ms: number) => GatewayEffect[]
}

const plan = {
  name: 'j-1',
  zone: 'a',
  retryRatio: 0.2,
  retryAllowance: 50,
  retryWindowMs: 10_000,
  suspectMs: 1400,
  refillMs: 2000,
  tallyMs: 250,
}

function given(more: Partial<typeof plan> = {}): Given {
  const copy = new ReplicaTable()
  const machine = new GatewayMachine({ ...plan, ...more }, copy, new Random(1))
  machine.servers.members = ['j-1', 'j-2']
  let nowMs = 1000
  const step = (input: GatewayInput) => machine.step(input, nowMs)
  const put = (key: string, gone: boolean, value: string) => {
    copy.set({ key, stamp: copy.stamp + 1, gone, value })
    step({ kind: 'adopted' })
  }
  const set = (key: string, value: unknown) => {
    put(key, false, JSON.stringify(value))
  }
  const route = (name: string, prefix: string, kind: string, service: string, extra: object = {}) => {
    set(`route/${name}`, {
      name,
      host: 'h.example',
      prefix,
      kind,
      timeoutMs: 5000,
      aimMs: 500,
      attempts: 2,
      services: [{ service, weight: 1 }],
      ...extra,
    })
  }
  set('service/app', { name: 'app', connections: 100 })
  set('service/llm', {
    name: 'llm',
    connections: 100,
    batch: { capacity: 8, cacheTokens: 1000, roomMb: 100, adapterPlaces: 2, loadsPerS: 5, models: [] },
  })
  route('once', '/once/', 'once', 'app')
  route('often', '/often/', 'repeatable', 'app')
  route('stream', '/stream/', 'stream', 'llm', { resumable: true, gapMs: 600 })
  route('single', '/single/', 'stream', 'llm')
  for (const [at, zone] of ['a', 'b'].entries()) {
    set(`server/app-${String(at)}`, { name: `app-${String(at)}`, address: `10.0.0.${String(at + 1)}:1`, zone, service: 'app', capacity: 4 })
    set(`server/llm-${String(at)}`, { name: `llm-${String(at)}`, address: `10.0.1.${String(at + 1)}:1`, zone, service: 'llm', capacity: 8 })
    set(`binding/llm-${String(at)}`, { incarnation: `llm-${String(at)}`, models: ['llm:m'], adapters: ['llm:m/a1'] })
  }
  return {
    machine,
    set,
    drop: (key) => {
      put(key, true, '')
    },
    step,
    arrive: (id, path, { model = '', adapter = '', dueInMs = 4000, resumeAfter } = {}) =>
      step({
        kind: 'arrived',
        id,
        host: 'h.example',
        path,
        arrival: { id: `r-${id}`, dueInMs, resumeAfter, model, adapter, promptTokens: 10, parts: [] },
      }),
    pass: (ms) => {
      const effects: GatewayEffect[] = []
      for (let left = ms; left > 0; left -= 20) {
        nowMs += Math.min(20, left)
        effects.push(...step({ kind: 'tick' }))
      }
      return effects
    },
  }
}

const only = <K extends GatewayEffect['kind']>(effects: GatewayEffect[], kind: K) =>
  effects.filter((one): one is Extract<GatewayEffect, { kind: K }> => one.kind === kind)

test('a request that may run once is never sent a second time after it may have run', () => {
  const { arrive, step } = given()
  const [first] = only(arrive('1', '/once/x'), 'attempt')
  step({ kind: 'sent', id: '1', attempt: 1 })
  const after = step({ kind: 'defect', id: '1', attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' })
  strictEqual(first?.attempt, 1)
  strictEqual(only(after, 'attempt').length, 0)
  strictEqual(only(after, 'turnAway')[0]?.status, 502)
})

test('a request that surely did not run goes to another server, and is refused as not run when none is left', () => {
  const { arrive, step } = given()
  const [first] = only(arrive('1', '/once/x'), 'attempt')
  step({ kind: 'sent', id: '1', attempt: 1 })
  const [second] = only(step({ kind: 'head', id: '1', attempt: 1, status: 503, notRun: true }), 'attempt')
  ok(second !== undefined && second.server !== first?.server)
  step({ kind: 'sent', id: '1', attempt: 2 })
  const end = only(step({ kind: 'head', id: '1', attempt: 2, status: 503, notRun: true }), 'turnAway')
  strictEqual(end[0]?.status, 503)
  ok((end[0]?.comeBackMs ?? 0) > 0)
})

test('a repeatable request goes on after a silence, and never beyond its attempts', () => {
  const { arrive, step, pass } = given()
  arrive('1', '/often/x')
  step({ kind: 'sent', id: '1', attempt: 1 })
  const second = only(pass(400), 'attempt')
  strictEqual(second.length, 1)
  step({ kind: 'sent', id: '1', attempt: 2 })
  strictEqual(only(pass(1000), 'attempt').length, 0)
})

test('a stream that may be resumed goes on after the last event passed on; another is broken off', () => {
  const { arrive, step } = given()
  arrive('1', '/stream/x', { model: 'm' })
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false })
  step({ kind: 'event', id: '1', attempt: 1, event: '4', data: true })
  const [next] = only(step({ kind: 'defect', id: '1', attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' }), 'attempt')
  strictEqual(next?.resumeAfter, '4')
  arrive('2', '/single/x', { model: 'm' })
  step({ kind: 'sent', id: '2', attempt: 1 })
  step({ kind: 'head', id: '2', attempt: 1, status: 200, notRun: false })
  step({ kind: 'event', id: '2', attempt: 1, event: '4', data: true })
  const end = step({ kind: 'defect', id: '2', attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' })
  strictEqual(only(end, 'breakOff').length, 1)
  strictEqual(only(end, 'attempt').length, 0)
})

test('a request for a model that nobody holds is told at once, waits, and goes when a binding comes', () => {
  const { arrive, set, machine } = given()
  const told = only(arrive('1', '/stream/x', { model: 'rare' }), 'tell')
  deepStrictEqual(
    told[0]?.message.held.map((one) => one.model),
    ['llm:rare'],
  )
  strictEqual(machine.held, 1)
  set('binding/llm-0', { incarnation: 'llm-0', models: ['llm:m', 'llm:rare'], adapters: [] })
  strictEqual(machine.held, 0)
})

test('what nobody will hold in time is given up before half of the time that it had, as not run', () => {
  const { arrive, pass } = given()
  arrive('1', '/stream/x', { model: 'rare', dueInMs: 4000 })
  strictEqual(only(pass(1000), 'turnAway').length, 0)
  strictEqual(only(pass(1000), 'turnAway')[0]?.status, 503)
})

test('nothing goes to a draining server, to an emptied zone or to a barred server', () => {
  const { arrive, set, machine } = given()
  set('server/app-0', { name: 'app-0', address: '10.0.0.1:1', zone: 'a', service: 'app', capacity: 4, draining: true })
  for (let at = 0; at < 4; at++) strictEqual(only(arrive(`d${String(at)}`, '/often/x'), 'attempt')[0]?.server, 'app-1')
  set('zone/b', { emptied: true })
  strictEqual(only(arrive('z', '/often/x'), 'attempt').length, 0)
  strictEqual(only(arrive('m', '/stream/x', { model: 'm' }), 'attempt')[0]?.server, 'llm-0')
  machine.servers.barred = new Set(['llm-0'])
  strictEqual(only(arrive('n', '/stream/x', { model: 'm' }), 'attempt').length, 0)
})

test('a held request follows the network in force, not the one that it arrived under', () => {
  const { arrive, drop, step } = given()
  arrive('1', '/stream/x', { model: 'rare' })
  drop('route/stream')
  const after = step({ kind: 'tick' })
  strictEqual(only(after, 'turnAway').length, 0)
  strictEqual(only(arrive('2', '/stream/x', { model: 'rare' }), 'turnAway')[0]?.status, 404)
})

test('a cold server gets no more in a second than its bound over all gateways', () => {
  const { arrive, set, pass, step } = given()
  set('service/app', { name: 'app', connections: 1000, coldPerS: 20, warmMs: 3000 })
  for (const at of [0, 1])
    set(`server/app-${String(at)}`, {
      name: `app-${String(at)}`,
      address: `10.0.0.${String(at + 1)}:1`,
      zone: 'a',
      service: 'app',
      capacity: 400,
      cold: true,
    })
  let sent = 0
  for (let at = 0; at < 100; at++) {
    const id = String(at)
    sent += only(arrive(id, '/once/x'), 'attempt').length
    step({ kind: 'sent', id, attempt: 1 })
    sent += only(pass(10), 'attempt').length
  }
  ok(sent <= 2 * (20 / 2 + 1), `sent ${String(sent)}`)
  ok(sent >= 4)
})

test('further tries stay within the budget', () => {
  const { arrive, step } = given({ retryAllowance: 10 })
  let again = 0
  for (let at = 0; at < 40; at++) {
    const id = String(at)
    if (only(arrive(id, '/often/x'), 'attempt').length === 0) continue
    step({ kind: 'sent', id, attempt: 1 })
    again += only(step({ kind: 'defect', id, attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' }), 'attempt').length
  }
  ok(again <= 5 + 0.2 * 40, `again ${String(again)}`)
})

test('an answer to an attempt that was left is not heard', () => {
  const { arrive, step } = given()
  arrive('1', '/often/x')
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'defect', id: '1', attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' })
  deepStrictEqual(step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false }), [])
})

test('a stream is not continued after an event that told no place in it, nor an answer that is no stream', () => {
  const { arrive, step } = given()
  for (const [id, event] of [
    ['1', undefined],
    ['2', '4'],
  ] as const) {
    arrive(id, '/stream/x', { model: 'm' })
    step({ kind: 'sent', id, attempt: 1 })
    step({ kind: 'head', id, attempt: 1, status: 200, notRun: false })
    step({ kind: 'event', id, attempt: 1, event, data: true })
    if (event !== undefined) step({ kind: 'event', id, attempt: 1, event: undefined, data: true })
    const end = step({ kind: 'defect', id, attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' })
    strictEqual(only(end, 'breakOff').length, 1)
    strictEqual(only(end, 'attempt').length, 0)
  }
})

for (const status of [408, 429, 503]) {
  test(`a server's ${String(status)} that does not say that the request has not run is no promise to the caller`, () => {
    const { arrive, step } = given()
    arrive('1', '/once/x')
    step({ kind: 'sent', id: '1', attempt: 1 })
    const end = step({ kind: 'head', id: '1', attempt: 1, status, notRun: false })
    strictEqual(only(end, 'turnAway')[0]?.status, 502)
    strictEqual(only(end, 'attempt').length + only(end, 'relay').length, 0)
  })
}

test('an answer that stops midway is given up soon after its due, and one of which nothing went on is a 504', () => {
  const { arrive, step, pass } = given()
  arrive('1', '/once/x', { dueInMs: 1000 })
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false })
  arrive('2', '/single/x', { model: 'm', dueInMs: 1000 })
  step({ kind: 'sent', id: '2', attempt: 1 })
  step({ kind: 'head', id: '2', attempt: 1, status: 200, notRun: false })
  step({ kind: 'event', id: '2', attempt: 1, event: '1', data: true })
  const early = pass(1000)
  strictEqual(only(early, 'turnAway').length + only(early, 'breakOff').length, 0)
  const end = pass(200)
  strictEqual(only(end, 'turnAway')[0]?.status, 504)
  strictEqual(only(end, 'breakOff')[0]?.id, '2')
})

test('a request that waits for a further try keeps to the route in force by then', () => {
  for (const change of [{ kind: 'once' }, { attempts: 1 }]) {
    const { arrive, step, set, machine } = given()
    arrive('1', '/often/x')
    for (const at of [0, 1])
      set(`server/app-${String(at)}`, {
        name: `app-${String(at)}`,
        address: '10.0.0.1:1',
        zone: 'a',
        service: 'app',
        capacity: 4,
        draining: true,
      })
    step({ kind: 'sent', id: '1', attempt: 1 })
    step({ kind: 'defect', id: '1', attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' })
    const route = {
      name: 'often',
      host: 'h.example',
      prefix: '/often/',
      kind: 'repeatable',
      timeoutMs: 5000,
      aimMs: 500,
      attempts: 2,
      services: [{ service: 'app', weight: 1 }],
    }
    strictEqual(machine.held, 1)
    set('route/often', { ...route, ...change })
    strictEqual(machine.open, 0)
  }
})

test('a stream whose caller does not read it is not taken for a silent server', () => {
  const { arrive, step, pass } = given()
  arrive('1', '/stream/x', { model: 'm' })
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false })
  step({ kind: 'event', id: '1', attempt: 1, event: '1', data: true })
  step({ kind: 'flow', id: '1', attempt: 1, blocked: true })
  strictEqual(only(pass(2000), 'attempt').length, 0)
  step({ kind: 'flow', id: '1', attempt: 1, blocked: false })
  strictEqual(only(pass(1000), 'attempt')[0]?.attempt, 2)
})

test('a stream under way that its last server refuses unrun goes back to one that it was sent to, and to no third', () => {
  const { arrive, step, pass, set } = given()
  // A gateway that has just started has hardly any further tries yet.
  arrive('0', '/once/x')
  step({ kind: 'callerGone', id: '0' })
  pass(10_000)
  set('server/llm-2', { name: 'llm-2', address: '10.0.1.3:1', zone: 'a', service: 'llm', capacity: 8 })
  set('binding/llm-2', { incarnation: 'llm-2', models: ['llm:m'], adapters: ['llm:m/a1'] })
  const [first] = only(arrive('1', '/stream/x', { model: 'm' }), 'attempt')
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false })
  step({ kind: 'event', id: '1', attempt: 1, event: '4', data: true })
  const [second] = only(step({ kind: 'defect', id: '1', attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' }), 'attempt')
  const tried = new Set([first?.server, second?.server])
  deepStrictEqual([tried.size, second?.attempt], [2, 2])
  let effects: GatewayEffect[] = []
  for (let attempt = 2; attempt <= 3; attempt++) {
    step({ kind: 'sent', id: '1', attempt })
    effects = [...step({ kind: 'head', id: '1', attempt, status: 503, notRun: true }), ...pass(700)]
    strictEqual(only(effects, 'breakOff').length, 0, `attempt ${String(attempt)}`)
    const [next] = only(effects, 'attempt')
    ok(next !== undefined && tried.has(next.server) && next.resumeAfter === '4')
  }
})

test('a stream that ran where it may last be sent is not sent again for an earlier refusal', () => {
  const { arrive, step, pass, set, drop } = given()
  drop('binding/llm-1')
  strictEqual(only(arrive('1', '/stream/x', { model: 'm' }), 'attempt')[0]?.server, 'llm-0')
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'head', id: '1', attempt: 1, status: 503, notRun: true })
  // It goes to the new holder as soon as that is adopted.
  set('binding/llm-1', { incarnation: 'llm-1', models: ['llm:m'], adapters: ['llm:m/a1'] })
  step({ kind: 'sent', id: '1', attempt: 2 })
  step({ kind: 'head', id: '1', attempt: 2, status: 200, notRun: false })
  step({ kind: 'event', id: '1', attempt: 2, event: '1', data: true })
  strictEqual(only(pass(3000), 'attempt').length, 0)
})

test('out of touch with the core, a request that no known route takes is told to come back; in touch it gets its 404', () => {
  const { machine, arrive } = given()
  strictEqual(only(arrive('1', '/nowhere/x'), 'turnAway')[0]?.status, 404)
  machine.inTouch = false
  const [told] = only(arrive('2', '/nowhere/x'), 'turnAway')
  strictEqual(told?.status, 503)
  ok((told.comeBackMs ?? 0) > 0)
  strictEqual(only(arrive('3', '/once/x'), 'attempt').length, 1)
})

test('a request is held past half of its time while its model is being loaded, and refused as soon as it is not', () => {
  const waits = { model: 'llm:rare', adapter: '', readyInMs: 700, neverBeforeMs: 0 }
  const tell = (loading: boolean) => ({ kind: 'outlook' as const, models: [{ ...waits, loading }] })
  const held = (loads: (step: number) => boolean) => {
    const { arrive, pass, step } = given()
    const refusals = only(arrive('1', '/stream/x', { model: 'rare' }), 'turnAway')
    for (let at = 0; at < 12; at++) {
      refusals.push(...only(step(tell(loads(at))), 'turnAway'), ...only(pass(200), 'turnAway'))
      if (refusals.length > 0) return 200 * (at + 1)
    }
    return Infinity
  }
  ok(held(() => false) <= 2000, 'nothing loads it')
  strictEqual(
    held(() => true),
    Infinity,
    'something loads it all the while',
  )
  const stopped = held((at) => at < 11)
  ok(stopped > 2000 && stopped <= 2400, `the load ends without it at 2200 ms; refused at ${String(stopped)} ms`)
})

test('a load that is no longer told of does not hold a request past half of its time', () => {
  const { arrive, pass, step } = given()
  arrive('1', '/stream/x', { model: 'rare' })
  step({ kind: 'outlook', models: [{ model: 'llm:rare', adapter: '', readyInMs: 1500, neverBeforeMs: 0, loading: true }] })
  strictEqual(only(pass(2400), 'turnAway').length, 1)
})

test('a gateway that stops refuses what still waits in time, and lets nothing wait after that', () => {
  const { arrive, step, pass } = given()
  strictEqual(only(arrive('1', '/stream/x', { model: 'rare' }), 'turnAway').length, 0)
  step({ kind: 'stop', times: { leaveByMs: 4000, holdUntilMs: 1400, endMs: 8000 } })
  const refused = only(pass(500), 'turnAway')
  strictEqual(refused.length, 1)
  strictEqual(refused[0]?.status, 503)
  strictEqual(only(arrive('2', '/stream/x', { model: 'rare' }), 'turnAway')[0]?.status, 503)
})

// Guards against requests that a stopping gateway takes on kept connections and then cuts.
test('a stop sends on only what its end leaves time for, and says of the rest at once that it did not run', () => {
  const { arrive, step, pass } = given()
  step({ kind: 'stop', times: { leaveByMs: 2000, holdUntilMs: 5000, endMs: 6000 } })
  strictEqual(only(arrive('early', '/often/x', { dueInMs: 9000 }), 'attempt').length, 1)
  pass(1500)
  const [refused] = only(arrive('late', '/often/x', { dueInMs: 4000 }), 'turnAway')
  deepStrictEqual([refused?.status, refused?.comeBackMs], [503, 0])
  strictEqual(only(arrive('short', '/often/x', { dueInMs: 3000 }), 'attempt').length, 1)
})

test('while callers may still come in, a stop refuses what usually takes longer than the stop', () => {
  const { arrive, step, pass } = given()
  arrive('1', '/once/x', { dueInMs: 9000 })
  step({ kind: 'sent', id: '1', attempt: 1 })
  pass(3000)
  step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false })
  step({ kind: 'ended', id: '1', attempt: 1 })
  step({ kind: 'stop', times: { leaveByMs: 6000, holdUntilMs: 6000, endMs: 6900 } })
  strictEqual(only(arrive('slow', '/once/x'), 'turnAway')[0]?.status, 503)
  strictEqual(only(arrive('other', '/often/x'), 'attempt').length, 1)
})

test('a further try that a stop leaves no time for is not begun', () => {
  const { arrive, step, pass } = given()
  arrive('1', '/once/x')
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'stop', times: { leaveByMs: 1050, holdUntilMs: 5000, endMs: 1050 } })
  pass(100)
  const after = step({ kind: 'head', id: '1', attempt: 1, status: 503, notRun: true })
  strictEqual(only(after, 'attempt').length, 0)
  strictEqual(only(after, 'turnAway')[0]?.status, 503)
})

test('at its end a stop answers every request of whose answer nothing has gone out', () => {
  const { machine, arrive, step } = given()
  arrive('connecting', '/once/x')
  arrive('sent', '/once/x')
  step({ kind: 'sent', id: 'sent', attempt: 1 })
  arrive('held', '/stream/x', { model: 'rare' })
  arrive('begun', '/stream/x', { model: 'm' })
  step({ kind: 'sent', id: 'begun', attempt: 1 })
  step({ kind: 'head', id: 'begun', attempt: 1, status: 200, notRun: false })
  step({ kind: 'event', id: 'begun', attempt: 1, event: '1', data: true })
  step({ kind: 'stop', times: { leaveByMs: 2000, holdUntilMs: 5000, endMs: 6000 } })
  const answered = only(step({ kind: 'stopEnd' }), 'turnAway').map(({ id, status }) => [id, status])
  deepStrictEqual(answered, [
    ['connecting', 503],
    ['sent', 502],
    ['held', 503],
  ])
  strictEqual(machine.open, 1)
})

test('a request that waits for its model is refused before its caller leaves, when that is sooner than its due', () => {
  const { set, arrive, pass } = given()
  const route = { name: 'short', host: 'h.example', prefix: '/short/', kind: 'stream', timeoutMs: 5000, aimMs: 500, attempts: 1 }
  set('route/short', { ...route, services: [{ service: 'llm', weight: 1 }], silenceMs: 1000 })
  strictEqual(only(arrive('1', '/short/x', { model: 'absent' }), 'turnAway').length, 0)
  const [refusal] = only(pass(900), 'turnAway')
  strictEqual(refusal?.status, 503)
  ok((refusal.comeBackMs ?? 0) > 0)
})

test('what most of the time until a first byte went to is counted', () => {
  const { machine, set, arrive, step, pass } = given()
  arrive('1', '/stream/x', { model: 'new' })
  pass(700)
  set('binding/llm-0', { incarnation: 'llm-0', models: ['llm:m', 'llm:new'], adapters: [] })
  step({ kind: 'sent', id: '1', attempt: 1 })
  step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false })
  step({ kind: 'event', id: '1', attempt: 1, event: '1', data: true })
  const counts = [...machine.delays.all]
  deepStrictEqual(
    counts.map(({ outcome, cause, requests }) => [outcome, cause, requests]),
    [['late', 'model_absent', 1]],
  )
})
