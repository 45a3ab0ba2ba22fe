/**
 * An agent inside a process that goes by its copy alone: it finds the core, tells of what it adopted, counts
 * its fellows, and follows another parent when its own falls silent.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import type { Message } from '../transport/Message.js'
import type { AgentEffect } from './AgentEffect.js'
import { AgentMachine } from './AgentMachine.js'

const timings = Timings(Bounds.parse({}))

class Core {
  nowMs = 0
  stamp = 3
  readonly silent = new Set<string>()
  peers = [{ name: 'edge', address: 'edge:7', role: 'agent' as const, zone: 'z' }]
  adopted = 0
  adoptions = 0
  readonly sent: { toAddress: string; message: Message }[] = []
  readonly machine = new AgentMachine(
    { name: 'edge', zone: 'z', address: 'edge:7', seeds: ['a:7', 'b:7'], proxy: '', system: '' },
    timings,
    new Random(3),
    0,
  )

  run(spanMs: number, until: () => boolean = () => false): boolean {
    for (const endMs = this.nowMs + spanMs; this.nowMs < endMs && !until();) {
      this.nowMs += timings.tickMs
      this.#perform(this.machine.step({ kind: 'tick' }, this.nowMs))
    }
    return until()
  }

  tell(from: string, message: Message): void {
    this.#perform(this.machine.step({ kind: 'message', from, fromAddress: `${from}:7`, message }, this.nowMs))
  }

  #perform(effects: AgentEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'adopted') this.adoptions += 1
      if (effect.kind !== 'send') continue
      const { toAddress, message } = effect
      this.sent.push({ toAddress, message })
      const box = toAddress.replace(':7', '')
      if (!['a', 'b'].includes(box) || this.silent.has(box)) continue
      const known = ['a', 'b'].map((name) => ({ name, address: `${name}:7`, role: 'control' as const, zone: 'z' }))
      if (message.kind === 'probe') {
        const { nonce } = message
        this.tell(box, {
          kind: 'probeReply',
          nonce,
          role: 'control',
          zone: 'z',
          identity: box,
          empty: false,
          leader: 'b:7',
          known,
          system: 's',
        })
      } else if (message.kind === 'follow') {
        const row = { key: 'network', stamp: this.stamp, gone: false, value: '{}' }
        const rows = message.stamp < this.stamp ? [row] : []
        this.tell(box, { kind: 'news', stamp: this.stamp, since: Math.min(message.stamp, this.stamp), rows })
      } else if (message.kind === 'renew' && box === 'b') {
        this.adopted = message.adopted
        const { sentMs } = message
        const lent = { serial: 0, shares: [], again: [], platformAgeMs: 0, system: 's', peersSum: this.peers.length }
        this.tell(box, { kind: 'lease', sentMs, forMs: timings.leaseMs, stamp: this.stamp, peers: this.peers, ...lent })
      }
    }
  }
}

void test('it is level, licensed and heard to have adopted soon after its start and after each change', () => {
  const core = new Core()
  ok(core.run(500, () => core.adopted === 3 && core.machine.current(core.nowMs) && core.machine.level))
  strictEqual(core.adoptions, 1)
  ok(core.machine.heardCoreMs > 0)
  deepStrictEqual(core.machine.barred(core.nowMs), [])
  core.stamp = 9
  ok(core.run(250, () => core.adopted === 9))
  strictEqual(core.adoptions, 2)
  strictEqual(
    core.sent.some((one) => one.message.kind === 'peerAsk' || one.toAddress === ''),
    false,
  )
})

void test('a silent core machine is left for another within half a second', () => {
  for (const silent of ['a', 'b']) {
    const core = new Core()
    core.run(500)
    core.silent.add(silent)
    core.run(1000)
    core.stamp = 12
    ok(core.run(500, () => core.machine.copy.stamp === 12))
  }
})

void test('members are counted, and a new leader that has not heard of all lowers the count only after a while', () => {
  const core = new Core()
  strictEqual(core.machine.members, 1)
  core.peers = ['edge', 'other', 'third'].map((name) => ({ name, address: `${name}:7`, role: 'agent' as const, zone: name }))
  core.run(500)
  strictEqual(core.machine.members, 3)
  core.peers = core.peers.slice(0, 1)
  core.run(timings.leaseMs)
  strictEqual(core.machine.members, 3)
  core.run(2 * timings.leaseMs)
  deepStrictEqual(core.machine.memberNames, ['edge'])
})

void test('a tally goes to the leader where the holder of the duty is not known by name', () => {
  const core = new Core()
  core.run(500)
  core.tell('edge', { kind: 'tally', seat: 'edge', session: 's', adopted: 3, atMs: 0, arrivals: [], held: [], flights: [] })
  strictEqual(core.sent.at(-1)?.toAddress, 'b:7')
})

void test('the first lease of a term is echoed at once, later ones with the next renewal, and none once it is old', () => {
  const core = new Core()
  core.silent.add('a')
  core.run(500)
  const renewals = () => core.sent.flatMap(({ message }) => (message.kind === 'renew' ? [message] : []))
  const session = renewals()[0]?.session ?? ''
  core.silent.add('b')
  core.run(timings.leaseMs)
  const lease = (term: number, grantedMs: number, of = session): Message => ({
    kind: 'lease',
    sentMs: core.nowMs,
    forMs: timings.leaseMs,
    stamp: 3,
    peers: core.peers,
    serial: 0,
    shares: [],
    again: [],
    platformAgeMs: 0,
    system: 's',
    peersSum: 1,
    session: of,
    term,
    grantedMs,
  })
  const told = (message: Message) => {
    const before = renewals().length
    core.tell('b', message)
    return renewals()
      .slice(before)
      .map((one) => [one.leaseTerm, one.leaseGrantedMs])
  }
  deepStrictEqual(told(lease(4, 900)), [[4, 900]])
  deepStrictEqual(told(lease(4, 950)), [])
  deepStrictEqual(told(lease(5, 20)), [[5, 20]])
  deepStrictEqual(told(lease(4, 990)), [])
  deepStrictEqual(told(lease(5, 10)), [])
  deepStrictEqual(told(lease(6, 30, 'another')), [])
  core.run(timings.renewMs + 2 * timings.tickMs)
  deepStrictEqual([renewals().at(-1)?.leaseTerm, renewals().at(-1)?.leaseGrantedMs], [5, 20])
  core.run(timings.echoMs)
  core.run(timings.renewMs)
  deepStrictEqual([renewals().at(-1)?.leaseTerm, renewals().at(-1)?.leaseGrantedMs], [undefined, undefined])
})

void test("a lease that answers an earlier life is not this life's, whatever its clock said", () => {
  const core = new Core()
  core.silent.add('a').add('b')
  core.run(300)
  const lease = { forMs: 800, stamp: 3, peers: [], serial: 0, shares: [], again: [], platformAgeMs: 0, system: 's', peersSum: 0 }
  core.tell('b', { kind: 'lease', sentMs: 1e7, ...lease })
  strictEqual(core.machine.current(core.nowMs), false)
  core.tell('b', { kind: 'lease', sentMs: core.nowMs, ...lease, session: 'another', term: 1, grantedMs: 1 })
  strictEqual(core.machine.current(core.nowMs), false)
  core.tell('b', { kind: 'peerTell', sentMs: 1e7, stamp: 3 })
  strictEqual(core.machine.current(core.nowMs), false)
})

void test('it is up to date while its lease runs and it has what the core told of, and not when either fails', () => {
  const core = new Core()
  strictEqual(core.machine.upToDate(core.nowMs), false)
  ok(core.run(2000, () => core.machine.upToDate(core.nowMs)))
  core.stamp = 9
  core.tell('b', {
    kind: 'news',
    stamp: 9,
    since: 8,
    rows: [],
  })
  strictEqual(core.machine.upToDate(core.nowMs), false)
  ok(core.run(2000, () => core.machine.upToDate(core.nowMs)))
  core.silent.add('a').add('b')
  core.run(1.1 * timings.leaseMs)
  strictEqual(core.machine.upToDate(core.nowMs), false)
})
