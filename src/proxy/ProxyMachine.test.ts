import { test } from 'node:test'
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { Charter } from '../common/Charter.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { sampleDefaults } from '../common/sampleDefaults.js'
import { Verdict } from '../common/Verdict.js'
import type { Message } from '../transport/Message.js'
import type { ProxyEffect } from './ProxyEffect.js'
import type { ProxyInput } from './ProxyInput.js'
import { ProxyMachine } from './ProxyMachine.js'

const timings = Timings({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12_000 })

/** A proxy with one server that breaks off each run, under an agent that grants each further try at once when it is told to. */
class ScriptedProxy {
  nowMs = 0
  grants = true
  barred: string[] = []
  readonly askedAgain: string[] = []
  readonly grantedMs = new Map<string, number>()
  readonly attemptsMs: number[] = []
  readonly #machine = new ProxyMachine({ name: 'p', seat: 'post-1', zone: 'a', agent: 'agent' }, timings, new Random(1))

  constructor() {
    const charter = Charter.check({
      defaults: { ...sampleDefaults, dueMs: 30_000 },
      partners: { c: { services: { x: { servers: ['s'], repeatable: true } } } },
      fleet: { servers: { s: { kind: 'service' } }, storePaceMbPerS: 1, storeBurstMb: 9 },
    }).caseOf<Charter>({
      Left: (errors) => {
        throw new Error(errors.join())
      },
      Right: (one) => one,
    })
    const row = (key: string, value: unknown) => ({ key, stamp: 1, gone: false, value: JSON.stringify(value) })
    const rows = [
      row('charter', charter),
      row('seat/post-1', {}),
      row('server/s', { name: 's', address: '127.0.0.1:1', zone: 'a', draining: false }),
    ]
    this.#tell({ kind: 'news', since: 0, stamp: 1, rows })
    this.permit([])
  }

  step(input: ProxyInput): void {
    for (const effect of this.#machine.step(input, this.nowMs)) this.#perform(effect)
  }

  /** A permit for a renewal that was sent now. */
  permit(again: string[]): void {
    const { nowMs: sentMs, barred } = this
    this.#tell({ kind: 'permit', sentMs, forMs: timings.leaseMs, lentMs: timings.leaseMs, serial: 1, shares: [], again, barred })
  }

  pass(ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs;) {
      this.nowMs += timings.tickMs
      this.step({ kind: 'tick' })
      this.permit([])
    }
  }

  #tell(message: Message): void {
    this.step({ kind: 'message', from: 'agent', fromAddress: 'agent', message })
  }

  #perform(effect: ProxyEffect): void {
    if (effect.kind === 'send' && effect.message.kind === 'ask') {
      const names = effect.message.again.map((one) => one.id)
      this.askedAgain.push(...names)
      if (!this.grants || names.length === 0) return
      for (const name of names) this.grantedMs.set(name, this.nowMs)
      this.permit(names)
    } else if (effect.kind === 'attempt') {
      this.attemptsMs.push(this.nowMs)
      const { id, attempt } = effect
      this.step({ kind: 'identified', id, attempt, server: 's', incarnation: '1', upMs: 1e6 })
    } else if (effect.kind === 'go')
      this.step({ kind: 'defect', id: effect.id, attempt: effect.attempt, verdict: Verdict.mayHaveRun, why: 'the connection broke' })
  }
}

test('a further try begins soon after its grant, however long its servers are left alone', () => {
  const proxy = new ScriptedProxy()
  proxy.step({ kind: 'arrived', id: '1', target: { kind: 'service', name: 'x' }, bytes: 1, dueInMs: undefined })
  proxy.pass(12_000)
  const [, ...again] = proxy.attemptsMs
  ok(again.length >= 5, `only ${String(again.length)} further tries`)
  const grants = [...proxy.grantedMs.values()]
  const waits = again.map((atMs) => atMs - Math.max(...grants.filter((grantMs) => grantMs <= atMs)))
  ok(Math.max(...waits) <= 0.05 * timings.retryWindowMs, `begun ${waits.map((ms) => ms.toFixed(0)).join(', ')} ms after the grants`)
})

test('a grant that was not used in time is not used at all: the try is asked for under another name', () => {
  const proxy = new ScriptedProxy()
  proxy.step({ kind: 'arrived', id: '1', target: { kind: 'service', name: 'x' }, bytes: 1, dueInMs: undefined })
  proxy.grants = false
  proxy.pass(1000)
  const [name = ''] = proxy.askedAgain
  proxy.barred = ['s']
  proxy.permit([name])
  proxy.pass(2000)
  proxy.barred = []
  proxy.pass(1000)
  deepStrictEqual(proxy.attemptsMs, [0])
  strictEqual(new Set(proxy.askedAgain).size, 2)
  proxy.grants = true
  proxy.pass(1000)
  ok(proxy.attemptsMs.length > 1)
})
