/**
 * What the parts of one control node's state machine share: its configuration, the consensus log and the state that the
 * log adds up to, what is known of the leader, and the effects of the step that is under way.
 */
import type { Timings } from '../common/Timings.js'
import { Command } from '../consensus/Command.js'
import type { PeerDirectory } from '../consensus/PeerDirectory.js'
import type { Raft } from '../consensus/Raft.js'
import { ReplicatedState } from '../consensus/ReplicatedState.js'
import type { Message } from '../transport/Message.js'
import type { ControlEffect } from './ControlEffect.js'
import type { ControlPlan } from './ControlPlan.js'

export class ControlContext {
  readonly plan: ControlPlan
  readonly timings: Timings
  readonly raft: Raft
  readonly directory: PeerDirectory
  /** Tells this life of the process from others of the same node. */
  readonly nonce: number
  replicatedState = new ReplicatedState()
  /** The last log index that `replicatedState` includes. */
  applied = 0
  /** True while this node leads, as the last step of the consensus log left it. */
  leading = false
  /** Empty while no leader is known. */
  leaderAddress = ''
  #effects: ControlEffect[] = []
  /** Where nodes were when they last sent a consensus message, by identity. */
  readonly #consensusAddresses = new Map<string, string>()

  constructor(plan: ControlPlan, timings: Timings, raft: Raft, directory: PeerDirectory, nonce: number) {
    this.plan = plan
    this.timings = timings
    this.raft = raft
    this.directory = directory
    this.nonce = nonce
  }

  /** True where gateways serve a network: members of the control plane join and leave, and its leader schedules placement. */
  get isNetwork(): boolean {
    return this.plan.seats.length === 0
  }

  /** This life of this node: a role won in an earlier one is not taken up again, for its orders are forgotten. */
  get life(): string {
    return `${this.raft.identity}/${String(this.nonce)}`
  }

  /** The system that this node belongs to, or may join; any, if empty. */
  get system(): string {
    return this.raft.system === '' ? this.plan.system : this.raft.system
  }

  /** The address of a control node; empty where it is not known. */
  addressOf(identity: string): string {
    return (
      this.directory.addressOf(identity) ??
      this.#consensusAddresses.get(identity) ??
      this.raft.members.find((one) => one.identity === identity)?.address ??
      ''
    )
  }

  /** A consensus message of this node came from this address. */
  hearConsensus(identity: string, fromAddress: string): void {
    if (this.isNetwork) this.#consensusAddresses.set(identity, fromAddress)
  }

  /** Puts a command to the log, through the leader where another node leads. */
  propose(command: Command, nowMs: number): void {
    const bytes = Command.encode(command)
    if (this.raft.phase === 'leader') this.raft.propose(bytes, nowMs)
    else this.send(this.leaderAddress, { kind: 'propose', id: '', command: bytes })
  }

  /** Sends a message; it is dropped where the address is empty, that is not known. */
  send(toAddress: string, message: Message): void {
    if (toAddress !== '') this.emit({ kind: 'send', toAddress, message })
  }

  sendAll(sends: readonly { toAddress: string; message: Message }[]): void {
    for (const { toAddress, message } of sends) this.send(toAddress, message)
  }

  /** Tells operators, in the log of the process. */
  say(part: string, sentence: string): void {
    this.emit({ kind: 'say', part, sentence })
  }

  warn(part: string, sentence: string): void {
    this.emit({ kind: 'warn', part, sentence })
  }

  emit(effect: ControlEffect): void {
    this.#effects.push(effect)
  }

  takeEffects(): ControlEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }
}
