/**
 * What a control node tells operators of nodes, servers, the charter's leaves and the placement.
 */
import { Charter } from '../common/Charter.js'
import { PlatformServer } from '../common/PlatformServer.js'
import { Tree } from '../common/Tree.js'
import type { Dispatcher } from '../placement/Dispatcher.js'
import type { ControlContext } from './ControlContext.js'
import type { SeatDesk } from './SeatDesk.js'

export class CoreAccount {
  readonly #context: ControlContext
  readonly #desk: SeatDesk
  jumped: { atMs: number; byMs: number } | undefined

  constructor(context: ControlContext, desk: SeatDesk) {
    this.#context = context
    this.#desk = desk
  }

  placement(dispatcher: Dispatcher | undefined, nowMs: number): unknown {
    const duty = this.#context.replicatedState.duty('dispatcher')
    return {
      epoch: duty?.epoch ?? 0,
      holder: duty?.holder ?? '',
      unmet: dispatcher?.unmet ?? [],
      reasons: dispatcher?.reasons.map((reason) => ({ ...reason, agoMs: Math.round(nowMs - reason.atMs) })) ?? [],
    }
  }

  leaves(): { path: string; value: Tree; from: string }[] {
    const tree = Tree.read(this.#context.replicatedState.copy.get('charter') ?? 'null') ?? null
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

  nodes(names: readonly string[], nowMs: number): unknown {
    const { raft, replicatedState, timings } = this.#context
    const seats = new Map(this.#desk.leases.seats)
    return {
      leader: raft.leader,
      term: raft.term,
      commit: raft.commit,
      core: raft.members.map((one) => ({
        ...one,
        address: this.#context.addressOf(one.identity),
        session: String(this.#lifeOf(one.seat)),
        alive: one.identity === raft.identity || nowMs - raft.heardMs(one.identity) < timings.electionMs,
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
      system: raft.system,
      exhausted: this.#desk.exhausted,
      syncMs: raft.syncMs,
      jumped: this.jumped === undefined ? null : { byMs: this.jumped.byMs, agoMs: Math.round(nowMs - this.jumped.atMs) },
    }
  }

  servers(): unknown {
    const { copy } = this.#context.replicatedState
    return copy.under('server/').map(([name, value]) => {
      const binding = copy.get(`binding/${name}`)
      const order = copy.get(`order/${name}`)
      const binds: unknown = binding === undefined ? null : JSON.parse(binding)
      const under: unknown = order === undefined ? null : JSON.parse(order)
      return { ...PlatformServer.parse(JSON.parse(value)), binding: binds, order: under }
    })
  }

  /** The nonce of a control node's life; 0 while it was not heard. */
  #lifeOf(seat: string): number {
    const { plan, nonce, directory } = this.#context
    return seat === plan.name ? nonce : (directory.lives.get(seat) ?? 0)
  }
}
