/**
 * A node under exploration: a Raft machine and the state that it applies to, with a disk, a clock that
 * runs at its own rate, and crashes at each of its effects. Every step is checked as it happens.
 */
import type { Raft } from '../../consensus/Raft.js'
import type { RaftOutput } from '../../consensus/RaftOutput.js'
import type { ReplicatedState } from '../../consensus/ReplicatedState.js'
import type { Settlement } from '../../consensus/Settlement.js'
import type { Message } from '../../transport/Message.js'
import { Breach } from './Breach.js'
import type { ClusterNodeHost } from './ClusterNodeHost.js'
import { LogImage } from './LogImage.js'
import { NodeDisk } from './NodeDisk.js'
import type { ScheduleEvent } from './ScheduleEvent.js'

type Crash = Extract<ScheduleEvent, { kind: 'crash' }>
const syncMs = { low: 0.3, high: 3 }
const lateTickRatio = 0.05
const lateTickMs = 150
/** What waits for a frozen process is taken up in any order within this time. */
const thawMs = 5

export class ClusterNode {
  readonly number: number
  readonly seat: string
  readonly disk = new NodeDisk()
  raft: Raft | undefined
  state: ReplicatedState
  /** Counts the lives of the process. */
  life = 0
  frozenUntilMs = 0
  /** What the last step settled of writes that wait. */
  settlements: Settlement[] = []
  armed: { crash: Crash; skip: number } | undefined
  readonly #host: ClusterNodeHost
  readonly #rate: number
  #memory = new LogImage()
  #synced = new LogImage()
  #identity = ''
  #applied = 0
  #commit = 0
  #ledTerm = 0
  #sinceSnapshot = 0
  #steadyTicks = false

  constructor(number: number, rate: number, host: ClusterNodeHost) {
    this.number = number
    this.seat = `n${String(number)}`
    this.#rate = rate
    this.#host = host
    this.state = host.parts.emptyState()
  }

  get localMs(): number {
    return this.#host.clock.nowMs * this.#rate
  }

  /** The identity that the node bears, once its disk has synced it. */
  get syncedIdentity(): string {
    return this.raft === undefined ? '' : this.#synced.identity
  }

  /** The last index that the state includes. */
  get applied(): number {
    return this.#applied
  }

  get leads(): boolean {
    return this.raft?.phase === 'leader'
  }

  start(): void {
    if (this.raft !== undefined) return
    const { parts, timings, random, invariants } = this.#host
    this.life += 1
    this.state = parts.emptyState()
    this.#applied = 0
    this.#commit = 0
    this.#ledTerm = 0
    this.#sinceSnapshot = 0
    this.#memory = LogImage.of(this.disk.synced)
    this.#synced = LogImage.of(this.disk.synced)
    const raft = parts.raft(this.seat, timings, random.fork(), this.disk.synced, this.localMs)
    this.raft = raft
    if (this.#identity !== '' && raft.identity !== this.#identity) invariants.wiped(this.#identity)
    this.#identity = raft.identity
    invariants.opened(raft.identity, this.#synced)
    this.#collect(raft)
    this.#tickLater(this.life)
  }

  crash(keep: Crash['keep'], downMs: number): void {
    if (this.raft === undefined) return
    const { random, clock } = this.#host
    this.raft = undefined
    this.life += 1
    this.armed = undefined
    this.disk.crash((unsynced) => (keep === 'all' ? unsynced : keep === 'lost' ? 0 : random.below(unsynced + 1)))
    clock.after(downMs, () => {
      this.start()
    })
  }

  wipe(downMs: number): void {
    this.crash('lost', downMs)
    this.disk.wipe()
    if (this.#identity !== '') this.#host.invariants.wiped(this.#identity)
  }

  /** Faults are over: the node runs, its disk and its ticks are in time. */
  calm(): void {
    this.armed = undefined
    this.frozenUntilMs = 0
    this.disk.stalledUntilMs = 0
    this.disk.slowUntilMs = 0
    this.#steadyTicks = true
    this.start()
  }

  receive(message: Message): void {
    this.step((raft, nowMs) => {
      raft.receive(message, nowMs)
    })
  }

  compact(): void {
    this.step((raft, nowMs) => {
      this.#compact(raft, nowMs)
    })
  }

  /** Does one step of the machine, or later if the process is frozen. */
  step(act: (raft: Raft, nowMs: number) => void): void {
    const { raft, life } = this
    if (raft === undefined) return
    const { clock, random } = this.#host
    if (clock.nowMs < this.frozenUntilMs) {
      clock.at(this.frozenUntilMs + thawMs * random.next(), () => {
        if (life === this.life) this.step(act)
      })
      return
    }
    act(raft, this.localMs)
    if (raft === this.raft) this.#collect(raft)
  }

  #compact(raft: Raft, nowMs: number): void {
    if (this.#applied === 0) return
    this.#sinceSnapshot = 0
    raft.compact(this.#applied, this.state.save(), nowMs)
  }

  #tickLater(life: number): void {
    const { clock, timings, random } = this.#host
    const late = !this.#steadyTicks && random.hit(lateTickRatio) ? random.next() * lateTickMs : 0
    clock.after(timings.tickMs / this.#rate + late, () => {
      if (life !== this.life) return
      if (clock.nowMs < this.frozenUntilMs) {
        this.#tickLater(life)
        return
      }
      this.step((raft, nowMs) => {
        raft.tick(nowMs)
        this.#host.ticked(raft, nowMs)
      })
      this.#tickLater(life)
    })
  }

  #collect(raft: Raft): void {
    const out = raft.take()
    this.#log(raft, out)
    this.#checkRole(raft, out.adopted !== undefined)
    this.#apply(raft, out)
    this.#host.collected(this, out)
    for (const { to, message } of out.sends) this.#send(raft, to, message)
    for (const write of out.writes) {
      if (raft !== this.raft) return
      this.#write(write)
    }
    const { compactEvery } = this.#host
    if (raft === this.raft && compactEvery > 0 && this.#sinceSnapshot >= compactEvery) this.compact()
  }

  #log(raft: Raft, out: RaftOutput): void {
    const { invariants } = this.#host
    const { identity, term, commit, members } = raft
    for (const { records, rewrite } of out.writes) {
      const read = rewrite ? this.#memory.replace(records) : this.#memory.append(records)
      invariants.logged(this.seat, this.#memory, read)
      const change = this.leads && !rewrite ? read.find((record) => record.kind === 'entry' && record.type === 'members') : undefined
      if (change?.kind === 'entry') invariants.changed({ identity, term, commit, members }, this.#memory, change.index)
    }
  }

  #checkRole(raft: Raft, adopted: boolean): void {
    const { invariants } = this.#host
    const { identity, term, commit, members } = raft
    if (this.leads && this.#ledTerm !== term) {
      this.#ledTerm = term
      invariants.elected({ identity, term, commit, members }, this.#memory)
    }
    if (commit < this.#commit)
      throw new Breach('commit never goes back', `${this.seat} went from ${String(this.#commit)} back to ${String(commit)}`)
    if (commit > this.#commit && this.#ledTerm === term && !adopted) invariants.committed({ identity, term, commit, members }, this.#memory)
    this.#commit = commit
    if (raft.surelyLeads(this.localMs)) invariants.sure(identity, term)
  }

  #apply(raft: Raft, out: RaftOutput): void {
    const { agreed, parts } = this.#host
    this.settlements = []
    if (out.adopted !== undefined) {
      const { index, state } = out.adopted
      agreed.compareSaved(this.seat, index, state)
      this.state = parts.restoredState(state)
      this.#applied = index
    }
    for (const entry of out.applied) {
      if (entry.index !== this.#applied + 1)
        throw new Breach('state-machine safety', `${this.seat} applied ${String(entry.index)} after ${String(this.#applied)}`)
      agreed.applied(this.seat, entry, raft.term)
      const settlement = entry.type === 'command' ? this.state.apply(entry.index, entry.bytes) : undefined
      if (settlement !== undefined) this.settlements.push(settlement)
      this.#applied = entry.index
      this.#sinceSnapshot += 1
    }
    if (out.applied.length > 0 || out.adopted !== undefined) agreed.compare(this.seat, this.#applied, this.state)
  }

  #send(raft: Raft, to: string, message: Message): void {
    this.#host.invariants.sent(raft.identity, message)
    this.#host.send(this, to, message)
  }

  #write(write: RaftOutput['writes'][number]): void {
    if (this.#crashesAt('beforeWrite')) return
    const { clock, random } = this.#host
    const { life } = this
    const atMs = this.disk.begin(write, random.between(syncMs.low, syncMs.high), clock.nowMs)
    clock.at(atMs, () => {
      this.#syncLater(life)
    })
    this.#crashesAt('beforeSync')
  }

  #syncLater(life: number): void {
    if (life !== this.life) return
    const { clock } = this.#host
    const waitMs = Math.max(this.disk.stalledUntilMs, this.frozenUntilMs) - clock.nowMs
    if (waitMs > 0)
      clock.after(waitMs, () => {
        this.#syncLater(life)
      })
    else
      this.step((raft, nowMs) => {
        this.#sync(raft, nowMs)
      })
  }

  #sync(raft: Raft, nowMs: number): void {
    const write = this.disk.sync()
    if (write === undefined) return
    this.#host.invariants.synced(raft.identity, write.records, write.rewrite)
    if (this.#crashesAt('beforeSends')) return
    for (const { to, message } of write.then) this.#send(raft, to, message)
    if (this.#crashesAt('afterSends')) return
    raft.written(nowMs)
  }

  #crashesAt(point: Crash['when']): boolean {
    const { armed } = this
    if (armed === undefined || armed.crash.when !== point) return false
    armed.skip -= 1
    if (armed.skip >= 0) return false
    this.crash(armed.crash.keep, armed.crash.downMs)
    return true
  }
}
