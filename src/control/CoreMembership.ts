/**
 * The members of the core as one control node deals with them: it founds a core where it may, and while it leads it
 * changes the members one at a time (see planMembership); before it stops it hands over.
 */
import type { Timings } from '../common/Timings.js'
import type { Member } from '../consensus/Member.js'
import type { PeerDirectory } from '../consensus/PeerDirectory.js'
import { planMembership } from '../consensus/planMembership.js'
import type { Raft } from '../consensus/Raft.js'
import type { Message } from '../transport/Message.js'

interface Plan {
  name: string
  address: string
  /** Names of the nodes that are to be members; empty where whoever comes is taken in. */
  seats: readonly string[]
  targetVoters: number
}
interface Host {
  send: (toAddress: string, message: Message) => void
  say: (sentence: string) => void
  leaderAddress: () => string
}

/** More voters than this slow every write down; further control nodes stand by as learners. */
const mostVoters = 9
/** A member that missed so many heartbeats is doubted. */
const doubtfulHeartbeats = 4
/** A node that answered none of so many probes is not there. */
const lateProbes = 4

export class CoreMembership {
  readonly #plan: Plan
  readonly #timings: Timings
  readonly #raft: Raft
  readonly #directory: PeerDirectory
  readonly #host: Host
  /** What system nodes say that they belong to, by identity. */
  readonly #systemOf = new Map<string, string>()
  /** When members last asked to go, by identity. */
  readonly #leavingMs = new Map<string, number>()
  /** Since when this node itself is leaving. */
  #leavingSinceMs: number | undefined
  #leavingAtMs = -Infinity
  #released = false

  constructor(plan: Plan, timings: Timings, raft: Raft, directory: PeerDirectory, host: Host) {
    this.#plan = plan
    this.#timings = timings
    this.#raft = raft
    this.#directory = directory
    this.#host = host
  }

  /** A new leader has heard of nobody who leaves. */
  begin(): void {
    this.#leavingMs.clear()
  }

  /** A node that left speaks from a new life, so it is back. */
  hearNewLife(identity: string): void {
    this.#leavingMs.delete(identity)
  }

  hearSystem(identity: string, system: string): void {
    this.#systemOf.set(identity, system)
  }

  hearReleased(identity: string, released: boolean): void {
    if (released && identity === this.#raft.identity) this.#released = true
  }

  tick(nowMs: number): void {
    this.#tickLeaving(nowMs)
    if (this.#plan.seats.length === 0) this.#foundAmongSeeds(nowMs)
    else this.#foundAmongSeats(nowMs)
  }

  /** The leader's part. */
  lead(nowMs: number): void {
    if (this.#plan.seats.length === 0) this.#changeMembers(nowMs)
    else this.#seatReplicas(nowMs)
  }

  /** Only the lowest of the configured seats founds, and only when all have said to this very start that they are empty. */
  #foundAmongSeats(nowMs: number): void {
    const seats = [...this.#plan.seats].sort()
    if (!this.#raft.empty || this.#plan.name !== seats[0]) return
    const others = seats.slice(1).map((seat) => this.#directory.get(seat))
    if (
      !others.every(
        (peer) => peer !== undefined && peer.empty && peer.identity !== '' && nowMs - peer.heardMs < lateProbes * this.#timings.probeMs,
      )
    )
      return
    const members = [{ identity: this.#raft.identity, seat: this.#plan.name, address: this.#plan.address, voter: true }]
    for (const peer of others)
      if (peer !== undefined) members.push({ identity: peer.identity, seat: peer.name, address: peer.address, voter: true })
    this.#raft.found(members, nowMs)
  }

  /** Only the process at the lowest seed founds, and only when every other seed has said to this very start that it is empty. */
  #foundAmongSeeds(nowMs: number): void {
    const seeds = [...new Set(this.#raft.foundingSeeds)].sort()
    if (!this.#raft.empty || this.#plan.address !== seeds[0]) return
    const boxes = this.#directory.of('control')
    const members = [{ identity: this.#raft.identity, seat: this.#plan.name, address: this.#plan.address, voter: true }]
    for (const seed of seeds.slice(1)) {
      const peer = boxes.find(
        (one) => one.address === seed && one.empty && one.identity !== '' && nowMs - one.heardMs < lateProbes * this.#timings.probeMs,
      )
      if (peer === undefined) return
      members.push({ identity: peer.identity, seat: peer.name, address: peer.address, voter: true })
    }
    this.#raft.found(members, nowMs)
  }

  /** How long a member has been silent to this leader, which counts from when it began to lead or took the member in. */
  #silentMs(identity: string, nowMs: number): number {
    return identity === this.#raft.identity ? 0 : nowMs - this.#raft.heardMs(identity)
  }

  /** One change at a time: see planMembership. */
  #changeMembers(nowMs: number): void {
    this.#forgetLeft(nowMs)
    if (!this.#raft.settled || this.#raft.changing) return
    const change = planMembership(
      this.#raft.members,
      this.#candidates(nowMs),
      this.#raft.identity,
      {
        silentMs: (identity) => this.#silentMs(identity, nowMs),
        caughtUp: (identity) => this.#raft.caughtUp(identity),
        leaving: (identity) => this.#leavingMs.has(identity),
      },
      {
        targetVoters: this.#plan.targetVoters,
        maxVoters: Math.max(mostVoters, this.#plan.targetVoters),
        doubtfulMs: doubtfulHeartbeats * this.#timings.heartbeatMs,
        lostMs: 2 * this.#timings.electionMs,
        goneMs: this.#timings.memberGoneMs,
      },
    )
    if (change !== undefined && this.#raft.changeMembers(change.members, nowMs)) this.#host.say(change.reason)
  }

  /** A node that left is no candidate while its last words may still count as heard lately. */
  #forgetLeft(nowMs: number): void {
    const forgetMs = this.#timings.electionMs + lateProbes * this.#timings.probeMs
    for (const [identity, askedMs] of this.#leavingMs) if (nowMs - askedMs > forgetMs) this.#leavingMs.delete(identity)
  }

  /** A member asks to go: its place is taken first, if a learner can take it. */
  hearLeaving(identity: string, fromAddress: string, nowMs: number): void {
    if (!this.#raft.settled) return
    this.#leavingMs.set(identity, nowMs)
    this.#changeMembers(nowMs)
    const member = this.#raft.members.some((one) => one.identity === identity)
    const standIn = this.#raft.members.some((one) => !one.voter && !this.#leavingMs.has(one.identity))
    this.#host.send(fromAddress, { kind: 'leavingReply', identity, released: !this.#raft.changing && !(member && standIn) })
  }

  /** Before it stops, a node hands its duties over and waits, not for long, until the core can do without it. */
  leave(nowMs: number): void {
    this.#leavingSinceMs ??= nowMs
  }

  /** True once a node that is leaving may stop. */
  get mayStop(): boolean {
    return this.#released
  }

  #tickLeaving(nowMs: number): void {
    if (this.#leavingSinceMs === undefined || this.#released) return
    const alone = !this.#raft.members.some((one) => one.identity !== this.#raft.identity)
    if (alone || nowMs - this.#leavingSinceMs > this.#timings.leaveMs) this.#released = true
    else if (this.#raft.phase === 'leader') this.#raft.transferLeadership(nowMs)
    else if (nowMs >= this.#leavingAtMs) {
      this.#leavingAtMs = nowMs + this.#timings.heartbeatMs
      this.#host.send(this.#host.leaderAddress(), { kind: 'leaving', identity: this.#raft.identity })
    }
  }

  /** Control nodes that were heard lately and may join: empty ones, and those of this cluster that hold its log. */
  #candidates(nowMs: number): Member[] {
    return this.#directory
      .of('control')
      .filter((peer) => peer.identity !== '' && nowMs - peer.heardMs <= lateProbes * this.#timings.probeMs)
      .filter((peer) => !this.#leavingMs.has(peer.identity))
      .filter((peer) => peer.empty || (this.#raft.system !== '' && this.#systemOf.get(peer.identity) === this.#raft.system))
      .map((peer) => ({ identity: peer.identity, seat: peer.name, address: peer.address, voter: false }))
  }

  /** A new replica in an old seat: first a learner, then, once caught up and the old one silent, its place. */
  #seatReplicas(nowMs: number): void {
    if (!this.#raft.settled || this.#raft.changing) return
    const members = [...this.#raft.members]
    for (const seat of this.#plan.seats) {
      const peer = this.#directory.get(seat)
      if (peer === undefined || peer.identity === '' || nowMs - peer.heardMs > lateProbes * this.#timings.probeMs) continue
      const own = members.find((one) => one.identity === peer.identity)
      const old = members.find((one) => one.seat === seat && one.identity !== peer.identity)
      if (own === undefined) {
        if (old !== undefined && nowMs - this.#raft.heardMs(old.identity) < 2 * this.#timings.electionMs) continue
        this.#host.say(`Takes ${seat} in as a learner under its new identity.`)
        this.#raft.changeMembers([...members, { identity: peer.identity, seat, address: peer.address, voter: false }], nowMs)
        return
      }
      if (own.voter || !this.#raft.caughtUp(own.identity)) continue
      if (old !== undefined) {
        this.#host.say(`Retires the identity that ${seat} lost.`)
        this.#raft.changeMembers(
          members.filter((one) => one !== old),
          nowMs,
        )
      } else {
        this.#host.say(`Gives ${seat} its vote under its new identity.`)
        this.#raft.changeMembers(
          members.map((one) => (one === own ? { ...own, voter: true } : one)),
          nowMs,
        )
      }
      return
    }
  }
}
