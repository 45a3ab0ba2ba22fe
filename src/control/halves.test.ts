/**
 * The machines of the core cut into two halves for some seconds, whatever is to be borne, with further losses in that
 * time: restarts and losses of power of any number of machines, and as many disks as must be borne. Operators reach both
 * halves. No machine shows a state older than what was acknowledged before it was asked, and once all are back nothing
 * acknowledged is lost and writes go on.
 */
import { ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Bounds } from '../common/Bounds.js'
import { Network } from '../common/Network.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { CoreTestWorld } from './CoreTestWorld.js'

const timings = Timings(Bounds.parse({}))
const syncMs = timings.recoverMs / 3
/** More than CI runs: HALVES_SCHEDULES=1000 node --test dist/control/halves.test.js */
const schedules = Number(process.env['HALVES_SCHEDULES'] ?? 20)
const firstSeed = Number(process.env['HALVES_SEED'] ?? 1)
const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }
const network = (revision: number) => JSON.stringify({ revision, routes: [], services: [{ name: 's', connections: 1 }], limits })
const revisionOf = (text: string) =>
  Network.check(JSON.parse(text), 0)
    .map((one) => one.revision)
    .orDefault(0)

class Halves {
  readonly world = new CoreTestWorld()
  readonly told: string[] = []
  readonly random: Random
  acknowledged = 0
  /** Machines that held less than what was acknowledged when they were asked, by what they have applied. */
  stale = 0
  reads = 0
  #write: { id: string; revision: number; endMs: number } | undefined
  readonly #reads = new Map<string, { name: string; least: number }>()
  #asks = 0

  constructor(seed: number, machines: number, targetVoters: number) {
    this.random = new Random(seed)
    this.world.targetVoters = targetVoters
    this.world.delays = { random: this.random.fork(), messageMs: 3, syncMs: 4 }
    this.world.three()
    for (let at = 4; at <= machines; at++) this.world.start(`box-${String(at)}`, `10.0.0.${String(at)}:7`, false)
    ok(
      this.world.run(8000, () => this.world.voters.length === targetVoters),
      `seed ${String(seed)}: not founded`,
    )
    this.use(syncMs)
  }

  /** Writes and reads at random machines, the same write again until it is acknowledged. */
  use(spanMs: number): void {
    const endMs = this.world.nowMs + spanMs
    while (this.world.nowMs < endMs) {
      const names = [...this.world.boxes.keys()]
      for (const name of names) if (this.random.hit(0.4)) this.#read(name)
      if (names.length > 0) this.#put(names[this.random.below(names.length)] ?? '')
      this.world.run(Math.min(this.random.between(30, 400), endMs - this.world.nowMs))
      this.#hear()
    }
  }

  #put(name: string): void {
    if (this.#write !== undefined) return
    const revision = this.acknowledged + 1
    const id = `write-${String((this.#asks += 1))}`
    this.#write = { id, revision, endMs: this.world.nowMs + 1000 }
    const base = { operation: `operation-${String(revision)}`, text: network(revision), ifMatch: this.acknowledged }
    this.world.ask(name, id, { action: 'network.put', ...base, waitMs: 800, leaderMs: 400 })
  }

  #read(name: string): void {
    const id = `read-${String((this.#asks += 1))}`
    this.#reads.set(id, { name, least: this.acknowledged })
    if ((this.world.boxes.get(name)?.machine.replicatedState.network?.revision ?? 0) < this.acknowledged) this.stale += 1
    this.world.ask(name, id, { action: 'network.get', waitMs: 800, leaderMs: 400 })
  }

  #hear(): void {
    for (const [id, { name, least }] of this.#reads) {
      const response = this.world.responses.get(id)
      if (response === undefined) continue
      this.#reads.delete(id)
      if (response.status === 200) this.reads += 1
      const revision = response.status === 200 ? revisionOf(response.text) : response.status === 404 ? 0 : Infinity
      ok(revision >= least, `${name} shows ${String(revision)} after ${String(least)} was acknowledged: ${this.told.join(', ')}`)
    }
    if (this.#write === undefined) return
    const status = this.world.responses.get(this.#write.id)?.status
    if (status === 200) this.acknowledged = this.#write.revision
    if (status !== undefined || this.world.nowMs >= this.#write.endMs) this.#write = undefined
  }

  /** Cuts all connections between two halves of the machines, also for those that start again meanwhile. */
  cut(half: readonly string[], others: readonly string[]): () => void {
    const cuts = half.flatMap((one) => others.flatMap((other) => [`${one}>${other}`, `${other}>${one}`]))
    for (const one of cuts) this.world.cuts.add(one)
    this.told.push(`cut ${half.join(' ')} from ${others.join(' ')} at ${String(Math.round(this.world.nowMs))}`)
    return () => {
      for (const one of cuts) this.world.cuts.delete(one)
    }
  }

  /** The machines go at the same moment, some with their disks, and come back. */
  lose(names: readonly string[], wiped: ReadonlySet<string>, downMs: number): void {
    this.told.push(`lose ${names.map((name) => name + (wiped.has(name) ? ' with its disk' : '')).join(', ')}`)
    const gone = names.map((name) => ({ name, address: this.world.boxes.get(name)?.address ?? '', disk: this.world.power(name) }))
    this.use(downMs)
    for (const { name, address, disk } of gone) this.world.start(name, address, false, wiped.has(name) ? [] : disk)
  }

  /** Service is back within the bound of recovery, with all that was acknowledged. */
  judge(what: string): void {
    const before = this.acknowledged
    const endMs = this.world.nowMs + timings.recoverMs
    while (this.acknowledged === before && this.world.nowMs < endMs) this.use(200)
    ok(this.acknowledged > before, `${what}: no write is acknowledged after ${this.told.join(', ')}`)
    const id = `last-${String((this.#asks += 1))}`
    this.world.ask(this.world.led(), id, { action: 'network.get' })
    ok(revisionOf(this.world.answered(id).text) >= this.acknowledged, `${what}: lost after ${this.told.join(', ')}`)
  }
}

function shuffled(names: readonly string[], random: Random): string[] {
  return names
    .map((name) => ({ name, rank: random.next() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ name }) => name)
}

for (const [machines, targetVoters] of [
  [3, 3],
  [4, 3],
  [5, 5],
  [6, 5],
] as const) {
  test(`${String(machines)} machines in two halves show nothing older than acknowledged, and go on as one`, () => {
    const tolerated = (targetVoters - 1) / 2
    let stale = 0
    let reads = 0
    for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
      const halves = new Halves(seed, machines, targetVoters)
      const { random, world } = halves
      for (let round = 0; round < 2; round++) {
        const names = shuffled([...world.boxes.keys()], random)
        const most = 1 + random.below(machines - 1)
        const mend = halves.cut(names.slice(0, most), names.slice(most))
        halves.use(random.between(100, 5000))
        const losses = shuffled(names, random).slice(0, 1 + random.below(machines))
        const disks = random.hit(0.6) ? random.below(tolerated + 1) : 0
        halves.lose(losses, new Set(losses.slice(0, disks)), random.between(0, 2000))
        halves.use(random.between(0, 3000))
        mend()
        halves.judge(`${String(machines)} machines, seed ${String(seed)}`)
        halves.use(syncMs)
      }
      stale += halves.stale
      reads += halves.reads
    }
    // Else no machine was asked that knew less than was acknowledged, and the test would show nothing.
    ok(stale > schedules, `only ${String(stale)} stale machines were asked`)
    ok(reads > 10 * schedules)
  })
}

test('while two of five voters are cut off, what is acknowledged is on more disks than may be lost, and the rest goes on without these', () => {
  for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
    const halves = new Halves(seed, 6, 5)
    const { world, random } = halves
    const leader = world.led()
    const voters = world.voters.filter((name) => name !== leader)
    const off = shuffled(voters, random).slice(0, 2)
    const rest = [...world.boxes.keys()].filter((name) => !off.includes(name))
    const mend = halves.cut(off, rest)
    const endMs = world.nowMs + timings.recoverMs / 2
    let least = Infinity
    while (world.nowMs < endMs) {
      halves.use(30)
      least = Math.min(least, world.voters.length === 0 ? Infinity : world.voters.length)
    }
    ok(least >= 4, `seed ${String(seed)}: ${String(least)} voters, so that two disks held what was acknowledged`)
    const lost = shuffled(
      world.voters.filter((name) => rest.includes(name)),
      random,
    ).slice(0, 2)
    strictEqual(lost.length, 2)
    halves.lose(lost, new Set(lost), 500)
    mend()
    halves.judge(`seed ${String(seed)}`)
  }
})
