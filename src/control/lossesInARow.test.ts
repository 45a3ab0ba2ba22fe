/**
 * Losses of core machines in a row, as many at once as must be borne, each coming as soon as the one before counts as
 * mended: restarts, power losses, wiped disks, replacements planned or not, cuts, and all machines at once. Whatever
 * was acknowledged is there at the end, and writes go on after every loss.
 */
import { ok } from 'node:assert'
import { test } from 'node:test'
import { Bounds } from '../common/Bounds.js'
import { Network } from '../common/Network.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { CoreTestWorld } from './CoreTestWorld.js'

const timings = Timings(Bounds.parse({}))
/** A machine counts as lost until this long after it came back or its successor started. */
const syncMs = timings.recoverMs / 3
/** The longest that a write may need once losses are mended: an election, and a repeat by its sender. */
const writableMs = timings.recoverMs / 3
/** More than CI runs: LOSS_SCHEDULES=1000 node --test dist/control/lossesInARow.test.js */
const schedules = Number(process.env['LOSS_SCHEDULES'] ?? 25)
const firstSeed = Number(process.env['LOSS_SEED'] ?? 1)
const lossesEach = 8
const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }
const network = (revision: number) => JSON.stringify({ revision, routes: [], services: [{ name: 's', connections: 1 }], limits })
const kinds = [
  'restart',
  'power',
  'wipe',
  'replace',
  'replacePlanned',
  'leavePlanned',
  'cut',
  'cutIn',
  'cutOut',
  'all',
  'allAndWipe',
] as const
type Kind = (typeof kinds)[number]

class Losses {
  readonly world = new CoreTestWorld()
  readonly told: string[] = []
  readonly #random: Random
  #revision = 0
  #names = 0
  #asks = 0

  constructor(seed: number, targetVoters: number) {
    this.#random = new Random(seed)
    this.world.targetVoters = targetVoters
    this.world.rewriteBytes = 3000
    this.world.delays = { random: this.#random.fork(), messageMs: 3, syncMs: 4 }
    this.world.three()
    for (let at = 4; at <= targetVoters; at++) this.world.start(`box-${String(at)}`, `10.0.0.${String(at)}:7`, false)
    ok(
      this.world.run(8000, () => this.world.voters.length === targetVoters),
      `seed ${String(seed)}: not founded`,
    )
    this.world.run(syncMs)
  }

  #pick(count: number): string[] {
    const names = [...this.world.boxes.keys()]
    const leader = this.world.leader?.[0]
    const picked = new Set<string>(leader !== undefined && this.#random.hit(0.5) ? [leader] : [])
    while (picked.size < count) picked.add(names[this.#random.below(names.length)] ?? '')
    return [...picked]
  }

  /** Later starts are told other seeds: machines as the platform's list shows them, the one that is just gone among them. */
  #reseed(gone: string): void {
    const addresses = [...this.world.boxes.values()].map((one) => one.address)
    const others = [0, 1].map(() => addresses[this.#random.below(addresses.length)] ?? '')
    this.world.seeds = [...new Set([gone, ...others])].filter((one) => one !== '')
  }

  #start(name: string, address: string, disk: Uint8Array[]): void {
    this.#reseed(address)
    this.world.start(name, address, false, disk)
  }

  #replacement(gone: string): void {
    this.#reseed(gone)
    this.#names += 1
    this.world.start(`new-${String(this.#names)}`, `10.0.1.${String(this.#names)}:7`, false)
  }

  /** Brings losses about, several machines at once where so many must be borne, and ends when they count as mended. */
  lose(kind: Kind): void {
    const tolerated = (this.world.targetVoters - 1) / 2
    const names = this.#pick(1 + this.#random.below(tolerated))
    const downMs = this.#random.between(0, 2000)
    this.told.push(`${kind} ${names.join(' and ')} at ${String(Math.round(this.world.nowMs))}`)
    switch (kind) {
      case 'restart':
      case 'power':
      case 'wipe':
        this.#goAndReturn(kind, names, downMs)
        break
      case 'replace': {
        const addresses = names.map((name) => this.world.boxes.get(name)?.address ?? '')
        for (const name of names) this.world.power(name)
        this.world.run(downMs)
        for (const address of addresses) this.#replacement(address)
        break
      }
      case 'replacePlanned':
      case 'leavePlanned':
        this.#replacePlanned(names, downMs, kind === 'leavePlanned')
        return
      case 'cut':
      case 'cutIn':
      case 'cutOut': {
        const mends = names.map((name) => this.world.cut(name, kind === 'cut' ? 'both' : kind === 'cutIn' ? 'in' : 'out'))
        this.#use(this.#random.between(500, 20_000))
        for (const mend of mends) mend()
        break
      }
      case 'all':
      case 'allAndWipe':
        this.#loseAll(kind === 'allAndWipe' ? tolerated : 0, downMs)
        break
    }
    this.#use(syncMs)
  }

  #goAndReturn(kind: 'restart' | 'power' | 'wipe', names: readonly string[], downMs: number): void {
    const gone = names.map((name) => {
      const address = this.world.boxes.get(name)?.address ?? ''
      return { name, address, disk: kind === 'restart' ? this.world.kill(name) : this.world.power(name) }
    })
    this.world.run(downMs)
    for (const { name, address, disk } of gone) this.#start(name, address, kind === 'wipe' ? [] : disk)
  }

  /** The successors start first; those that they replace then end, with notice or without. */
  #replacePlanned(names: readonly string[], waitMs: number, notice: boolean): void {
    const leaving = names.flatMap((name) => this.world.boxes.get(name) ?? [])
    for (const box of leaving) this.#replacement(box.address)
    const startedMs = this.world.nowMs
    this.world.run(waitMs)
    if (notice) {
      for (const box of leaving) box.machine.leave(this.world.nowMs)
      this.world.run(2 * timings.leaveMs, () => leaving.every((box) => box.machine.mayStop))
    }
    for (const name of names) this.world.kill(name)
    this.#use(startedMs + syncMs - this.world.nowMs)
  }

  #loseAll(wiped: number, downMs: number): void {
    const before = [...this.world.boxes]
    const disks = before.map(([name]) => this.world.power(name))
    const wipedFrom = this.#random.below(before.length)
    this.world.run(downMs)
    before.forEach(([name, { address }], at) => {
      this.world.run(this.#random.between(0, 100))
      this.#start(name, address, (at + wipedFrom) % before.length < wiped ? [] : (disks[at] ?? []))
    })
  }

  /** Writes through random machines for a while, as an operator does who takes silence for a reason to go elsewhere. */
  #use(spanMs: number): void {
    const endMs = this.world.nowMs + spanMs
    while (this.world.nowMs < endMs) {
      this.#ask(Math.min(endMs - this.world.nowMs, 1000))
      this.world.run(Math.min(this.#random.between(50, 800), endMs - this.world.nowMs))
    }
  }

  #ask(patienceMs: number): boolean {
    const names = [...this.world.boxes.keys()]
    const name = names[this.#random.below(names.length)] ?? ''
    const id = `ask-${String((this.#asks += 1))}`
    const revision = this.#revision + 1
    this.world.ask(name, id, {
      action: 'network.put',
      operation: `operation-${String(revision)}`,
      text: network(revision),
      ifMatch: this.#revision,
      waitMs: patienceMs,
    })
    this.world.run(patienceMs, () => this.world.responses.has(id))
    if (this.world.responses.get(id)?.status !== 200) return false
    this.#revision = revision
    return true
  }

  /** A write is acknowledged, and what was acknowledged reads back. */
  judge(what: string): void {
    const endMs = this.world.nowMs + writableMs
    let written = false
    while (!written && this.world.nowMs < endMs) {
      written = this.#ask(Math.min(1000, endMs - this.world.nowMs))
      if (!written) this.world.run(50)
    }
    ok(written, `${what}: no write is acknowledged after ${this.told.join(', ')}`)
    const id = `read-${String((this.#asks += 1))}`
    this.world.ask(this.world.led(), id, { action: 'network.get' })
    const read = Network.check(JSON.parse(this.world.answered(id).text), 0).map((one) => one.revision)
    ok(read.orDefault(0) >= this.#revision, `${what}: revision ${String(this.#revision)} is lost after ${this.told.join(', ')}`)
  }
}

for (const targetVoters of [3, 5]) {
  test(`losses in a row leave ${String(targetVoters)} voters able to go on, with all that was acknowledged`, () => {
    for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
      const losses = new Losses(seed, targetVoters)
      const random = new Random(1000 + seed)
      for (let at = 0; at < lossesEach; at++) {
        losses.lose(kinds[random.below(kinds.length)] ?? 'restart')
        losses.judge(`${String(targetVoters)} voters, seed ${String(seed)}`)
      }
    }
  })
}
