/**
 * What a core machine tells operators of nodes, servers, the charter's leaves and the placement.
 */
import { Charter } from '../common/Charter.js'
import type { Timings } from '../common/Timings.js'
import { PlatformServer } from '../common/PlatformServer.js'
import { Tree } from '../common/Tree.js'
import type { Raft } from '../consensus/Raft.js'
import type { ReplicatedState } from '../consensus/ReplicatedState.js'
import type { Dispatcher } from '../placement/Dispatcher.js'
import type { SeatDesk } from './SeatDesk.js'

export class CoreAccount {
  readonly #timings: Timings
  readonly #raft: Raft
  readonly #desk: SeatDesk
  readonly #addressOf: (identity: string) => string
  readonly #lifeOf: (seat: string) => number
  jumped: { atMs: number; byMs: number } | undefined

  constructor(timings: Timings, raft: Raft, desk: SeatDesk, addressOf: (identity: string) => string, lifeOf: (seat: string) => number) {
    this.#timings = timings
    this.#raft = raft
    this.#desk = desk
    this.#addressOf = addressOf
    this.#lifeOf = lifeOf
  }

  placement(replicatedState: ReplicatedState, dispatcher: Dispatcher | undefined, nowMs: number): unknown {
    const duty = replicatedState.duty('dispatcher')
    return {
      epoch: duty?.epoch ?? 0,
      holder: duty?.holder ?? '',
      unmet: dispatcher?.unmet ?? [],
      reasons: dispatcher?.reasons.map((reason) => ({ ...reason, agoMs: Math.round(nowMs - reason.atMs) })) ?? [],
    }
  }

  leaves(replicatedState: ReplicatedState): { path: string; value: Tree; from: string }[] {
    const tree = Tree.read(replicatedState.copy.get('charter') ?? 'null') ?? null
    const charter = Charter.check(tree).toMaybe().extractNullable()
    const leaves = Tree.leaves(tree).map(([path, value]) => ({ path, value, from: path }))
    for (const partner of Object.keys(charter?.partners ?? {})) {
      for (const [path, value] of Tree.leaves(Tree.at(tree, ['defaults']) ?? null)) {
        const own = Tree.at(tree, ['partners', partner, 'limits', ...path.split('.')])
        if (own === undefined) leaves.push({ path: `partners.${partner}.limits.${path}`, value, from: `defaults.${path}` })
      }
    }
    return leaves
  }

  nodes(replicatedState: ReplicatedState, names: readonly string[], nowMs: number): unknown {
    const seats = new Map(this.#desk.leases.seats)
    return {
      leader: this.#raft.leader,
      term: this.#raft.term,
      commit: this.#raft.commit,
      core: this.#raft.members.map((one) => ({
        ...one,
        address: this.#addressOf(one.identity),
        session: String(this.#lifeOf(one.seat)),
        alive: one.identity === this.#raft.identity || nowMs - this.#raft.heardMs(one.identity) < this.#timings.electionMs,
      })),
      dispatcher: replicatedState.duty('dispatcher') ?? null,
      seats: names.map((seat) => ({
        seat,
        zone: seats.get(seat)?.zone ?? '',
        address: seats.get(seat)?.address ?? '',
        session: seats.get(seat)?.session ?? '',
        adopted: seats.get(seat)?.adopted ?? 0,
        alive: this.#desk.leases.alive(seat, nowMs),
      })),
      stamp: replicatedState.copy.stamp,
      system: this.#raft.system,
      exhausted: this.#desk.exhausted,
      syncMs: this.#raft.syncMs,
      jumped: this.jumped === undefined ? null : { byMs: this.jumped.byMs, agoMs: Math.round(nowMs - this.jumped.atMs) },
    }
  }

  servers(replicatedState: ReplicatedState): unknown {
    const { copy } = replicatedState
    return copy.under('server/').map(([name, value]) => {
      const binding = copy.get(`binding/${name}`)
      const order = copy.get(`order/${name}`)
      const binds: unknown = binding === undefined ? null : JSON.parse(binding)
      const under: unknown = order === undefined ? null : JSON.parse(order)
      return { ...PlatformServer.parse(JSON.parse(value)), binding: binds, order: under }
    })
  }
}
