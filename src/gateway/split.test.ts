/**
 * The parts of a split get the shares of their weights, whatever the ids of requests look like and whatever a part
 * answers.
 */
import { deepStrictEqual, ok } from 'node:assert'
import { test } from 'node:test'
import { Random } from '../common/Random.js'
import { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { GatewayEffect } from './GatewayEffect.js'
import { GatewayMachine } from './GatewayMachine.js'
import { RouteTable } from './RouteTable.js'

const hex = (value: number, digits: number) => value.toString(16).padStart(digits, '0')
const random = new Random(4)
const shapes: Record<string, (at: number) => string> = {
  'hex that counts': (at) => hex(at, 16),
  'short hex that counts': (at) => hex(at, 8),
  'hex that counts from a large number': (at) => hex(0xe2a35f00 + at, 16),
  'capital hex that counts': (at) => hex(at, 16).toUpperCase(),
  'odd hex': (at) => hex(2 * at + 1, 16),
  'hex in steps of 16': (at) => hex(16 * at, 16),
  'hex in steps of 4096': (at) => hex(4096 * at, 16),
  'hex in steps of 2^20': (at) => hex(1048576 * at, 16),
  'hex that counts in its upper half': (at) => `${hex(at, 8)}00000000`,
  'hex that counts backwards in its digits': (at) => [...hex(at, 16)].reverse().join(''),
  'hex that repeats itself': (at) => hex(at, 4).repeat(4),
  'a client, its request and its try': (at) => `c-${String(at % 7)}-${String(at >> 2)}-${String(at & 3)}`,
  'a UUID that counts': (at) => `00000000-0000-4000-8000-${hex(at, 12)}`,
  'a decimal number': (at) => String(at),
  'random hex': () => hex(random.below(4294967296), 8) + hex(random.below(4294967296), 8),
}
const splits = [
  [90, 10],
  [50, 50],
  [1, 99],
  [70, 20, 10],
  [0.5, 0.3, 0.2],
  [1, 0, 1],
]
const route = (weights: readonly number[]) => ({
  name: 'r',
  host: 'h.example',
  prefix: '/r/',
  kind: 'once' as const,
  timeoutMs: 5000,
  aimMs: 500,
  urgency: 5,
  attempts: 4,
  sticky: false,
  resumable: false,
  services: weights.map((weight, at) => ({ service: `part-${String(at)}`, weight })),
})

for (const [said, id] of Object.entries(shapes)) {
  test(`each part gets its share where ids are ${said}`, () => {
    for (const weights of splits) {
      const sum = weights.reduce((all, one) => all + one, 0)
      // 200 requests is where the rule begins; 0.17 is five times what chance alone would do there, at most.
      for (const [count, most] of [
        [200, 0.17],
        [20_000, 0.018],
      ] as const) {
        for (const first of [0, 1, 7919, 1_000_000]) {
          const got = weights.map(() => 0)
          for (let at = 0; at < count; at++) {
            const part = Number(RouteTable.service(route(weights), id(first + at)).slice(5))
            got[part] = (got[part] ?? 0) + 1
          }
          for (const [part, weight] of weights.entries()) {
            const off = Math.abs((got[part] ?? 0) / count - weight / sum)
            ok(off < most, `${String(weights)}, ${String(count)} from ${String(first)}: part ${String(part)} is ${off.toFixed(3)} off`)
            if (weight === 0) deepStrictEqual(got[part], 0)
          }
        }
      }
    }
  })
}

const only = <K extends GatewayEffect['kind']>(effects: readonly GatewayEffect[], kind: K) =>
  effects.filter((one): one is Extract<GatewayEffect, { kind: K }> => one.kind === kind)

test('what one part turns away stays with that part, and the other gets no more than its share', () => {
  const copy = new ReplicaTable()
  const plan = {
    name: 'j-1',
    zone: 'a',
    retryRatio: 1,
    retryAllowance: 4000,
    retryWindowMs: 10_000,
    suspectMs: 40,
    refillMs: 1,
    tallyMs: 250,
  }
  const machine = new GatewayMachine(plan, copy, new Random(1))
  const set = (key: string, value: object) => {
    copy.set({ key, stamp: copy.stamp + 1, gone: false, value: JSON.stringify(value) })
  }
  for (const part of [0, 1]) {
    const service = `part-${String(part)}`
    set(`service/${service}`, { name: service, connections: 100 })
    for (const at of [0, 1, 2]) {
      const name = `${service}-${String(at)}`
      set(`server/${name}`, { name, address: `10.0.${String(part)}.${String(at)}:1`, zone: 'a', service, capacity: 40 })
    }
  }
  set('route/r', route([70, 30]))
  machine.step({ kind: 'adopted' }, 0)
  const firsts = [0, 0]
  let further = 0
  let nowMs = 0
  for (let at = 0; at < 2000; at++) {
    nowMs += 200
    machine.step({ kind: 'tick' }, nowMs)
    const id = String(at)
    const arrival = { id: hex(at, 16), dueInMs: 4000, resumeAfter: undefined, model: '', adapter: '', promptTokens: 0, parts: [] }
    let [attempt] = only(machine.step({ kind: 'arrived', id, host: 'h.example', path: '/r/x', arrival }, nowMs), 'attempt')
    const part = Number(attempt?.server.slice(5, 6))
    firsts[part] = (firsts[part] ?? 0) + 1
    while (attempt !== undefined) {
      machine.step({ kind: 'sent', id, attempt: attempt.attempt }, nowMs)
      // All servers of the first part turn everything away; the others answer.
      if (part === 1) {
        machine.step({ kind: 'head', id, attempt: attempt.attempt, status: 200, notRun: false }, nowMs)
        machine.step({ kind: 'ended', id, attempt: attempt.attempt }, nowMs)
        break
      }
      ;[attempt] = only(machine.step({ kind: 'head', id, attempt: attempt.attempt, status: 503, notRun: true }, nowMs), 'attempt')
      // Where every server was asked just now, the request waits for a moment.
      for (let wait = 0; wait < 5 && attempt === undefined; wait++) {
        nowMs += 20
        ;[attempt] = only(machine.step({ kind: 'tick' }, nowMs), 'attempt')
      }
      if (attempt === undefined) break
      further += 1
      ok(attempt.server.startsWith('part-0-'), `request ${id} went on to ${attempt.server}`)
    }
    machine.step({ kind: 'callerGone', id }, nowMs)
  }
  ok(further > 1000, `only ${String(further)} further tries`)
  const [first = 0, second = 0] = firsts
  ok(Math.abs(first / (first + second) - 0.7) < 0.05, `shares ${String(firsts)}`)
})
