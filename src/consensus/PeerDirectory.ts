/**
 * Whom a process knows of: learned from its seeds and from everyone that those know of. An address
 * heard from its owner goes before hearsay; nothing learned is forgotten, so swapped seeds cut off
 * nobody.
 */
import type { Role } from '../common/Role.js'

interface Peer {
  name: string
  address: string
  role: Role
  zone: string
  identity: string
  empty: boolean
  heardMs: number
}

const toldAtOnce = 4

export class PeerDirectory {
  readonly #self: string
  #seeds: readonly string[]
  readonly #staleMs: number
  readonly #peers = new Map<string, Peer>()
  readonly #nameOf = new Map<string, string>()
  /** Names by role in their order, and names of all that are no control nodes; made again when a name or a role is new. */
  readonly #byRole = new Map<Role, readonly string[]>()
  #rest: string[] | undefined
  #turn = 0

  constructor(self: string, seeds: readonly string[], staleMs: number) {
    this.#self = self
    this.#seeds = seeds
    this.#staleMs = staleMs
  }

  /** Other seeds take the place of the old ones; whoever was learned of through those stays. */
  reseed(seeds: readonly string[]): void {
    this.#seeds = seeds
  }

  /** The life that a process is in, by the number that it draws at its start. */
  readonly lives = new Map<string, number>()

  heard(peer: Omit<Peer, 'heardMs'>, nowMs: number): void {
    if (peer.name !== this.#self) this.#set({ ...peer, heardMs: nowMs })
  }

  hearsay(known: readonly { name: string; address: string; role: Role; zone: string }[], nowMs: number): void {
    for (const peer of known) {
      const old = this.#peers.get(peer.name)
      if (peer.name === this.#self || (old !== undefined && nowMs - old.heardMs <= this.#staleMs)) continue
      this.#set({ ...peer, identity: old?.identity ?? '', empty: false, heardMs: old?.heardMs ?? -Infinity })
    }
  }

  #set(peer: Peer): void {
    const old = this.#peers.get(peer.name)
    this.#peers.set(peer.name, peer)
    if (old?.identity !== peer.identity) {
      if (old !== undefined && this.#nameOf.get(old.identity) === peer.name) this.#nameOf.delete(old.identity)
      if (peer.identity !== '') this.#nameOf.set(peer.identity, peer.name)
    }
    if (old?.role === peer.role) return
    this.#byRole.delete(peer.role)
    if (old !== undefined) this.#byRole.delete(old.role)
    if (old !== undefined) this.#rest = undefined
    else if (peer.role !== 'control') this.#rest?.push(peer.name)
  }

  get(name: string): Peer | undefined {
    return this.#peers.get(name)
  }

  addressOf(identity: string): string | undefined {
    return this.#peers.get(this.#nameOf.get(identity) ?? '')?.address
  }

  of(role: Role): Peer[] {
    return this.#names(role).flatMap((name) => this.#peers.get(name) ?? [])
  }

  #names(role: Role): readonly string[] {
    let names = this.#byRole.get(role)
    if (names === undefined) {
      names = [...this.#peers.values()]
        .filter((peer) => peer.role === role)
        .map((peer) => peer.name)
        .sort()
      this.#byRole.set(role, names)
    }
    return names
  }

  /** What others are told: every core machine, and a few of the rest in turn, so that it does not grow with the system. */
  get known(): { name: string; address: string; role: Role; zone: string }[] {
    this.#rest ??= [...this.#peers.values()].filter((peer) => peer.role !== 'control').map((peer) => peer.name)
    const rest = this.#rest
    this.#turn += 1
    const some =
      rest.length <= toldAtOnce ? rest : Array.from({ length: toldAtOnce }, (_, at) => rest[(this.#turn * toldAtOnce + at) % rest.length])
    return [...this.#names('control'), ...some].flatMap((name) => {
      const peer = this.#peers.get(name ?? '')
      return peer === undefined ? [] : [{ name: peer.name, address: peer.address, role: peer.role, zone: peer.zone }]
    })
  }

  /** Where to ask for the core: the seeds, and every control node ever learned of. */
  get inquiries(): string[] {
    return [...new Set([...this.#seeds, ...this.of('control').map((peer) => peer.address)])]
  }
}
