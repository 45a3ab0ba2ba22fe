/**
 * Core machines of a network for tests. Unless told otherwise their disks sync at once and messages arrive at once.
 * With `delays`, a message and a sync take a seeded time, in order on each connection and disk; connections can be cut
 * one way, and a loss of power keeps a part of what was not synced.
 */
import { ok } from 'node:assert'
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { Frame } from '../transport/Frame.js'
import type { Message } from '../transport/Message.js'
import { edgeMulti } from '../placement/edgeMulti.js'
import type { Operation } from './Operation.js'
import type { ControlEffect } from './ControlEffect.js'
import { ControlMachine } from './ControlMachine.js'

const timings = Timings(Bounds.parse({}))

interface Box {
  machine: ControlMachine
  disk: Uint8Array[]
  address: string
}
interface Due {
  atMs: number
  act: () => void
}

export class CoreTestWorld {
  nowMs = 0
  targetVoters = 3
  rewriteBytes = 1e6
  seeds = ['10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7']
  readonly boxes = new Map<string, Box>()
  readonly heard = new Map<string, (message: Message, from: string, fromAddress: string) => void>()
  /** Told of each message between core machines. */
  watch: ((message: Message) => void) | undefined
  readonly responses = new Map<string, { status: number; stamp: number; text: string }>()
  delays: { random: Random; messageMs: number; syncMs: number; bytesPerMs?: number } | undefined
  /** What is cut: all from a machine (`a>`), all to one (`>b`), or all from one to another (`a>b`). */
  readonly cuts = new Set<string>()
  readonly #due: Due[] = []
  readonly #lastMs = new Map<string, number>()
  readonly #unsynced = new Map<Box, { records: Uint8Array[]; rewrite: boolean }[]>()
  #seed = 1

  start(name: string, address: string, bootstrap: boolean, disk: Uint8Array[] = []): Box {
    this.#seed += 1
    const plan = {
      name,
      zone: 'z',
      address,
      seeds: this.seeds,
      seats: [],
      bootstrap,
      fenced: false,
      rewriteBytes: this.rewriteBytes,
      policy: edgeMulti,
      system: '',
      targetVoters: this.targetVoters,
    }
    const box = { machine: new ControlMachine(plan, timings, new Random(this.#seed), [...disk], this.nowMs), disk, address }
    this.boxes.set(name, box)
    this.#carryOut(name, box, box.machine.begin())
    return box
  }

  three(bootstrap = true): void {
    this.seeds.forEach((seed, at) => this.start(`box-${String(at + 1)}`, seed, bootstrap))
  }

  /** The process is gone; its disk keeps all that was written. */
  kill(name: string): Uint8Array[] {
    const box = this.boxes.get(name)
    if (box === undefined) return []
    this.boxes.delete(name)
    for (const write of this.#unsynced.get(box) ?? []) CoreTestWorld.#put(box.disk, write)
    return box.disk
  }

  /** The machine is without power; of what was not synced a part may be there, from its front. */
  power(name: string): Uint8Array[] {
    const box = this.boxes.get(name)
    if (box === undefined) return []
    this.boxes.delete(name)
    const unsynced = this.#unsynced.get(box) ?? []
    const kept = this.delays === undefined ? 0 : this.delays.random.below(unsynced.length + 1)
    for (const write of unsynced.slice(0, kept)) CoreTestWorld.#put(box.disk, write)
    return box.disk
  }

  /** Cuts all connections between a machine and the others that run or will run; gives what mends them. */
  cut(name: string, ways: 'both' | 'in' | 'out'): () => void {
    const cuts = [...(ways === 'in' ? [] : [`${name}>`]), ...(ways === 'out' ? [] : [`>${name}`])]
    for (const one of cuts) this.cuts.add(one)
    return () => {
      for (const one of cuts) this.cuts.delete(one)
    }
  }

  run(spanMs: number, until: () => boolean = () => false): boolean {
    for (const endMs = this.nowMs + spanMs; this.nowMs < endMs;) {
      if (until()) return true
      this.nowMs += timings.tickMs
      this.#carryOutDue()
      for (const [name, box] of [...this.boxes])
        if (this.boxes.get(name) === box) this.#carryOut(name, box, box.machine.step({ kind: 'tick', hour: 0 }, this.nowMs))
    }
    return until()
  }

  tell(from: string, fromAddress: string, toAddress: string, message: Message): void {
    this.watch?.(message)
    if (this.delays === undefined) {
      this.#deliver(from, fromAddress, toAddress, message)
      return
    }
    const { random, messageMs, bytesPerMs = Infinity } = this.delays
    const bytes = bytesPerMs === Infinity ? 0 : Frame.write(from, fromAddress, message).length
    this.#later(`${fromAddress}>${toAddress}`, random.between(0.2, 1) * messageMs, bytes / bytesPerMs, () => {
      this.#deliver(from, fromAddress, toAddress, message)
    })
  }

  #later(queue: string, waitMs: number, busyMs: number, act: () => void): void {
    const atMs = Math.max(this.nowMs + waitMs, (this.#lastMs.get(queue) ?? 0) + 0.001) + busyMs
    this.#lastMs.set(queue, atMs)
    const at = this.#due.findLastIndex((one) => one.atMs <= atMs)
    this.#due.splice(at + 1, 0, { atMs, act })
  }

  #carryOutDue(): void {
    const untilMs = this.nowMs
    for (let next = this.#due[0]; next !== undefined && next.atMs <= untilMs; next = this.#due[0]) {
      this.#due.shift()
      this.nowMs = next.atMs
      next.act()
    }
    this.nowMs = untilMs
  }

  static #put(disk: Uint8Array[], write: { records: Uint8Array[]; rewrite: boolean }): void {
    if (write.rewrite) disk.length = 0
    disk.push(...write.records)
  }

  #deliver(from: string, fromAddress: string, toAddress: string, message: Message): void {
    const to = [...this.boxes].find(([, one]) => one.address === toAddress)
    if (this.cuts.has(`${from}>`) || (to !== undefined && (this.cuts.has(`>${to[0]}`) || this.cuts.has(`${from}>${to[0]}`)))) return
    if (to === undefined) this.heard.get(toAddress)?.(message, from, fromAddress)
    else this.#carryOut(to[0], to[1], to[1].machine.step({ kind: 'message', from, fromAddress, message }, this.nowMs))
  }

  ask(name: string, id: string, operation: Partial<Operation> & { action: Operation['action'] }): void {
    const whole = { branch: '', text: '', ifMatch: -1, operation: '', waitMs: timings.operateMs, leaderMs: timings.operateMs, ...operation }
    const box = this.boxes.get(name)
    if (box !== undefined) this.#carryOut(name, box, box.machine.step({ kind: 'operate', id, operation: whole }, this.nowMs))
  }

  cancel(name: string, id: string): void {
    const box = this.boxes.get(name)
    if (box !== undefined) this.#carryOut(name, box, box.machine.step({ kind: 'cancel', id }, this.nowMs))
  }

  answered(id: string, spanMs = 2000): { status: number; stamp: number; text: string } {
    ok(
      this.run(spanMs, () => this.responses.has(id)),
      `${id} is not answered`,
    )
    return this.responses.get(id) ?? { status: 0, stamp: 0, text: '' }
  }

  get leader(): [string, Box] | undefined {
    return [...this.boxes].find(([, one]) => one.machine.raft.settled && one.machine.raft.surelyLeads(this.nowMs))
  }

  get voters(): string[] {
    return (this.leader?.[1].machine.raft.members ?? [])
      .filter((one) => one.voter)
      .map((one) => one.seat)
      .sort()
  }

  led(): string {
    ok(
      this.run(5000, () => this.leader !== undefined),
      'nobody leads',
    )
    return this.leader?.[0] ?? ''
  }

  #carryOut(name: string, box: Box, effects: ControlEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') this.tell(name, box.address, effect.toAddress, effect.message)
      else if (effect.kind === 'write') {
        this.#write(name, box, effect)
      } else if (effect.kind === 'respond') this.responses.set(effect.id, effect)
    }
  }

  #write(name: string, box: Box, effect: Extract<ControlEffect, { kind: 'write' }>): void {
    const synced = () => {
      CoreTestWorld.#put(box.disk, effect)
      for (const send of effect.then) this.tell(name, box.address, send.toAddress, send.message)
      this.#carryOut(name, box, box.machine.step({ kind: 'written' }, this.nowMs))
    }
    if (this.delays === undefined) {
      synced()
      return
    }
    const { random, syncMs } = this.delays
    const unsynced = this.#unsynced.get(box) ?? []
    this.#unsynced.set(box, unsynced)
    unsynced.push(effect)
    this.#later(`disk of ${box.machine.raft.identity} ${name}`, random.between(0.3, 1) * syncMs, 0, () => {
      if (this.boxes.get(name) !== box) return
      unsynced.shift()
      synced()
    })
  }
}
