/**
 * The time that a server is handed with each sending: what is left of the caller's and the route's, at that moment.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../common/Random.js'
import { Verdict } from '../common/Verdict.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { GatewayEffect } from './GatewayEffect.js'
import { GatewayMachine } from './GatewayMachine.js'

const timeoutMs = 5000

function given(): {
  machine: GatewayMachine
  arrive: (id: string, path: string, dueInMs: number | undefined, nowMs: number) => GatewayEffect[]
} {
  const copy = new ReplicaTable()
  const plan = {
    name: 'j-1',
    zone: 'a',
    retryRatio: 1,
    retryAllowance: 100,
    retryWindowMs: 10_000,
    suspectMs: 1400,
    refillMs: 1,
    tallyMs: 250,
  }
  const machine = new GatewayMachine(plan, copy, new Random(1))
  const set = (key: string, value: object) => {
    copy.set({ key, stamp: copy.stamp + 1, gone: false, value: JSON.stringify(value) })
  }
  set('service/app', { name: 'app', connections: 100 })
  for (const at of [0, 1, 2])
    set(`server/s-${String(at)}`, { name: `s-${String(at)}`, address: `10.0.0.${String(at)}:1`, zone: 'a', service: 'app', capacity: 40 })
  for (const [name, kind] of [
    ['often', 'repeatable'],
    ['once', 'once'],
    ['stream', 'stream'],
  ] as const)
    set(`route/${name}`, {
      name,
      host: 'h.example',
      prefix: `/${name}/`,
      kind,
      resumable: kind === 'stream',
      timeoutMs,
      aimMs: 500,
      attempts: 3,
      services: [{ service: 'app', weight: 1 }],
    })
  machine.step({ kind: 'adopted' }, 0)
  return {
    machine,
    arrive: (id, path, dueInMs, nowMs) =>
      machine.step(
        {
          kind: 'arrived',
          id,
          host: 'h.example',
          path,
          arrival: { id, dueInMs, resumeAfter: undefined, model: '', adapter: '', promptTokens: 0, parts: [] },
        },
        nowMs,
      ),
  }
}
const sent = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((one) => (one.kind === 'attempt' ? [{ attempt: one.attempt, leftMs: one.leftMs }] : []))

test("the first sending is handed the lesser of the caller's time and the route's, also where the caller says nothing", () => {
  const { arrive } = given()
  deepStrictEqual(
    [1200, 60_000, undefined].map((dueInMs, at) => sent(arrive(String(at), '/once/x', dueInMs, 100))[0]?.leftMs),
    [1200, timeoutMs, timeoutMs],
  )
})

for (const [said, path, fail] of [
  ['was refused unrun', '/once/x', { kind: 'head', status: 503, notRun: true }],
  ['was lost', '/often/x', { kind: 'defect', verdict: Verdict.mayHaveRun, why: 'reset' }],
] as const) {
  test(`a request that ${said} is sent once more with what is left by then, and ends with its first due`, () => {
    const { machine, arrive } = given()
    let [next] = sent(arrive('1', path, 3000, 1000))
    strictEqual(next?.leftMs, 3000)
    for (const nowMs of [1700, 2600]) {
      machine.step({ kind: 'sent', id: '1', attempt: next?.attempt ?? 0 }, nowMs - 10)
      ;[next] = sent(machine.step({ ...fail, id: '1', attempt: next?.attempt ?? 0 }, nowMs))
      strictEqual(next?.leftMs, 4000 - nowMs)
    }
  })
}

test('a stream that goes on elsewhere is handed what is left of its first due', () => {
  const { machine, arrive } = given()
  arrive('1', '/stream/x', 4000, 1000)
  machine.step({ kind: 'sent', id: '1', attempt: 1 }, 1010)
  machine.step({ kind: 'head', id: '1', attempt: 1, status: 200, notRun: false }, 1100)
  machine.step({ kind: 'event', id: '1', attempt: 1, event: '1', data: true }, 1200)
  const [next] = sent(machine.step({ kind: 'defect', id: '1', attempt: 1, verdict: Verdict.mayHaveRun, why: 'reset' }, 3400))
  strictEqual(next?.leftMs, 1600)
})

test('a connection that takes long to come up is left well before its deadline is half a second old', () => {
  const { machine, arrive } = given()
  deepStrictEqual(sent(arrive('1', '/once/x', 3000, 1000)), [{ attempt: 1, leftMs: 3000 }])
  let nowMs = 1000
  let next: { attempt: number; leftMs: number } | undefined
  while (next === undefined && nowMs < 3000) {
    nowMs += 20
    ;[next] = sent(machine.step({ kind: 'tick' }, nowMs))
  }
  ok(nowMs - 1000 <= 400, `left after ${String(nowMs - 1000)} ms`)
  strictEqual(next?.leftMs, 4000 - nowMs)
})
